#ifndef AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_AGENT_H_
#define AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_AGENT_H_

#include <memory>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/error.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/node/node_settings.h"

namespace amaranthcove {

// Loads and unloads the adapters of the engine on the same host according to
// the demands of the routers, and sends the routers the state of the engine:
// its models, its adapters and its load.
//
// The agent is the only process that sends orders to its engine, so holders of
// the engine's lease never compete. While the agent is down, the engine keeps
// its models and adapters.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class AdapterAgent {
 public:
  // Creates an agent that is not started. Precondition: `loop` outlives the
  // agent.
  static std::unique_ptr<AdapterAgent> Create(EventLoop& loop,
                                              const AgentSettings& settings);

  virtual ~AdapterAgent() = default;

  // Binds the agent's UDP address and starts polling the engine. Errors:
  // kUnavailable if the address cannot be bound.
  virtual Status Start() = 0;

  // Returns whether the engine answers its agent.
  virtual bool ready() const = 0;

  // Returns the last known state of the engine and the agent's counters, for
  // operators.
  virtual nlohmann::json Dump() const = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_AGENT_H_
