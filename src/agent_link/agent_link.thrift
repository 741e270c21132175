// Datagrams between routers and the adapter agents beside engines. Each one
// holds the sender's whole present state, so that a loss is mended by the next.
namespace cpp amaranthcove.agent_wire

// An adapter that a router needs or uses at the engine of the receiver.
struct AdapterUse {
  1: string model
  2: string adapter
  3: i64 version       // The least version that serves; 0 means any.
  4: i32 waiting       // Requests that wait for the adapter.
  5: i32 running       // Requests that use it at the engine now.
  6: i32 rank          // Of the first waiting request; 0 is first.
}

struct BaseModel {
  1: string name
  2: double weights_mb
}

// From a router to an agent.
struct AdapterDemand {
  1: string router
  2: i64 sequence            // Grows with each datagram of one router's start.
  3: list<AdapterUse> uses
  4: i32 adapter_places      // Of an engine, as the configuration says.
  5: double weights_mb       // As above, for weights and adapters together.
  6: list<BaseModel> models  // Which the engine may hold.
  7: i64 incarnation         // Of the router.
}

// Statuses are most of the traffic between data centres, so a model is named
// once for all its adapters.
struct ResidentAdapter {
  2: string adapter
  3: i64 version
  4: i16 model           // Index into `models` of the status.
}

// From an agent to the routers that have sent it a demand lately.
struct EngineStatus {
  1: i64 sequence
  2: list<string> models
  3: list<ResidentAdapter> resident
  4: list<ResidentAdapter> loading
  5: i32 running
  6: i32 queued
  7: i32 free_places     // Empty, or holding an adapter that nobody uses.
  8: i32 routers         // Routers that sent a demand lately.
  10: i64 incarnation    // Of the agent.
  11: bool reachable     // Whether the engine answers its agent.
  12: i64 started_at_ms  // Of the engine, as it says itself.
  13: i32 load_wait_ms   // Until a load that is ordered now would end.
  14: i32 event_interval_ms  // Between the events of a run; 0 if not known.
}

struct AgentDatagram {
  1: optional AdapterDemand demand
  2: optional EngineStatus status
}
