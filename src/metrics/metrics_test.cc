#include "amaranthcove/metrics/metrics.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

TEST_GROUP(Metrics){};

// Guards against metrics with different labels that share a time series, a
// second time series for the same metric, and lost labels.
TEST(Metrics, SerializesEveryLabel) {
  MetricsRegistry registry("entry-1", "entry", "sofia-1");
  registry.Counter("amaranthcove_documents_total", "Help", "result", "adopted");
  registry.Counter("amaranthcove_documents_total", "Help", "result", "invalid")
      .Increment();
  registry.Gauge("amaranthcove_calls", "Help").Set(2);
  // Returns the existing metric.
  registry.Gauge("amaranthcove_calls", "Help").Increment();
  const std::string text = registry.Serialize();
  const std::string labels =
      "data_centre=\"sofia-1\",instance=\"entry-1\",role=\"entry\"";
  for (const std::string& line :
       {"amaranthcove_documents_total{" + labels + ",result=\"adopted\"} 0\n",
        "amaranthcove_documents_total{" + labels + ",result=\"invalid\"} 1\n",
        "amaranthcove_calls{" + labels + "} 3\n"}) {
    CHECK_TEXT(text.find(line) != std::string::npos, (line + text).c_str());
  }
}

}  // namespace amaranthcove
