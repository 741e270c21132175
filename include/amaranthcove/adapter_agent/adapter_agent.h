#ifndef AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_AGENT_H_
#define AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_AGENT_H_

#include <memory>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/error.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/node/node_settings.h"

namespace amaranthcove {

// Orders the adapters of the engine beside it, as the routers need them, and
// tells the routers what the engine holds and how busy it is.
//
// It is the only process that orders its engine, so no two holders ever take
// turns there; while it is down the engine keeps what it holds.
//
// Thread safety: belongs to the loop's thread.
class AdapterAgent {
 public:
  // Preconditions: `loop` outlives the agent.
  static std::unique_ptr<AdapterAgent> Create(EventLoop& loop,
                                              const AgentSettings& settings);

  virtual ~AdapterAgent() = default;

  // Binds its address and begins to ask the engine. Errors: kUnavailable if the
  // address cannot be bound.
  virtual Status Start() = 0;

  // Whether the engine answers.
  virtual bool ready() const = 0;

  // The present beliefs and counters, for operators.
  virtual nlohmann::json Dump() const = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_AGENT_H_
