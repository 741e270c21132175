#include "amaranthcove/metrics/metrics.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

TEST_GROUP(Metrics){};

// Guards against metrics that share a time series, and against lost labels.
TEST(Metrics, SerializesEveryLabel) {
  MetricsRegistry registry("entry-1", "entry", "sofia-1");
  const Metrics metrics(registry);
  metrics.documents_invalid.Increment();
  metrics.load_stall_urgent_seconds.Observe(0.25);
  const std::string text = registry.Serialize();
  const std::string labels =
      "data_centre=\"sofia-1\",instance=\"entry-1\",role=\"entry\"";
  for (const std::string& line :
       {"amaranthcove_documents_total{" + labels + ",result=\"adopted\"} 0\n",
        "amaranthcove_documents_total{" + labels + ",result=\"invalid\"} 1\n",
        "amaranthcove_load_stall_seconds_count{" + labels +
            ",urgency=\"urgent\"} 1\n",
        "amaranthcove_load_stall_seconds_count{" + labels +
            ",urgency=\"patient\"} 0\n"}) {
    CHECK_TEXT(text.find(line) != std::string::npos, (line + text).c_str());
  }
}

}  // namespace amaranthcove
