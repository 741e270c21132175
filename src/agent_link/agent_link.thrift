// Datagrams between routers and the adapter agents of engines. Each datagram
// contains the sender's complete current state, so the next datagram makes up
// for a lost one.
namespace cpp amaranthcove.agent_wire

// An adapter that a router needs or uses at the receiver's engine.
struct AdapterUse {
  1: string model
  2: string adapter
  3: i64 version       // The lowest version that serves; 0 means any.
  4: i32 waiting       // Number of requests that wait for the adapter.
  5: i32 running       // Number of requests that use it at the engine.
  6: i32 rank          // Lowest rank of the waiting requests; 0 is first.
}

// A base model that the engine may hold.
struct BaseModel {
  1: string name
  2: double weights_mb
}

// A prompt that the router sends to the engine when the agent admits it.
struct WaitingPrompt {
  1: i64 id              // Unique within the incarnation of the router.
  2: i64 tokens
  3: i32 rank            // 0 is first.
  6: i64 waited_ms       // For admission, at this engine and others before.
  4: i64 workspace       // Hash of the name; 0 without one.
  5: double weight = 1   // Of the share of the workspace.
}

// A request whose connection to the engine broke before the engine began to
// answer it.
struct LostRequest {
  1: i64 request         // Hash of the id of the caller's attempt.
  2: list<i64> parts     // Hash of the request as a whole, then of the ids of
                         // the parts of its prompt, if they are suspected.
}

// A request that was lost in the crash of a plain server, which has no agent.
struct PlainServerCrash {
  1: i64 id              // Hash of the server and its start.
  2: LostRequest request
}

// The use of a workspace's quota by a router, told to the agents that keep the
// ledger of the workspace. Amounts are totals of the incarnation of the router.
struct QuotaReport {
  1: i64 workspace       // Hash of the name.
  2: double rate_per_s   // Of the quota, from the configuration.
  3: double burst
  4: i64 limits_version  // Of the configuration.
  5: double used
  6: double asked        // What callers asked for, admitted or not.
  7: optional double level  // What the router believes to be left.
}

// Sent by a router to an agent.
struct AdapterDemand {
  1: string router
  2: i64 sequence            // Increases with each datagram of an incarnation.
  3: list<AdapterUse> uses
  4: i32 adapter_places      // Of the engine, from the configuration.
  5: double weights_mb       // Memory of the engine for weights and adapters,
                             // from the configuration.
  6: list<BaseModel> models  // Models that the engine may hold.
  7: i64 incarnation         // Incarnation of the router.
  8: i64 prompt_tokens       // Tokens of the prompts that the engine has not
                             // read yet.
  9: list<WaitingPrompt> prompts  // Further prompts, not in `prompt_tokens`.
  10: i64 prompt_window      // Tokens that the engine may read in `gap_ms`
                             // without making its streams late; 0 if there is
                             // no limit.
  11: i32 batch_size         // Of the engine, from the configuration.
  12: i64 sent_tokens        // Tokens of all prompts that the incarnation of
                             // the router has sent to the engine.
  13: i32 gap_ms
  15: list<LostRequest> lost // Of about the last second.
  16: list<i64> begun_parts  // Parts that the agent listed with a crash, and
                             // that have not crashed a server since.
  17: list<PlainServerCrash> plain_crashes  // Of about the last second.
  18: list<QuotaReport> quotas  // Of the workspaces whose ledger the agent keeps.
  19: i64 long_pauses    // Pauses of streams at the engine that prompts may have
                         // caused, and those of them that were too long; totals
                         // of the incarnation of the router.
  20: i64 late_pauses
  21: i64 sent_requests  // Total of the incarnation.
  22: bool service_has_late_pauses  // As seen by the router at all engines of
                                    // the service.
}

// Statuses are most of the traffic between data centres, so a status contains
// the name of a model only once, and its adapters refer to it by index.
struct ResidentAdapter {
  2: string adapter
  3: i64 version
  4: i16 model           // Index into `models` of the status.
}

// Sent by an agent to the routers that have sent it a demand recently.
struct EngineStatus {
  1: i64 sequence
  2: list<string> models
  3: list<ResidentAdapter> resident
  4: list<ResidentAdapter> loading
  5: i32 running
  6: i32 queued
  7: i32 free_places     // Adapter places that are empty or hold an adapter
                         // without requests, less the places needed for
                         // waiting requests.
  8: i32 routers         // Number of routers that sent a demand recently.
  10: i64 incarnation    // Incarnation of the agent.
  11: bool reachable     // Whether the engine answers its agent.
  12: i64 started_at_ms  // Start of the engine, as the engine reports it.
  13: i32 load_wait_ms   // Expected time until a load ordered now would end.
  14: i32 event_interval_ms  // Mean time between the events of a run; 0 if
                             // unknown.
}

// The work that the other routers have given to an engine. Sent by an agent to
// each router, with each status and when the work grows.
struct EngineLoad {
  1: i64 sequence        // Shared with the statuses of the agent.
  2: i64 incarnation     // Incarnation of the agent.
  3: i32 requests        // Requests that other routers have at the engine.
  4: i64 prompt_tokens   // Unread and waiting prompt tokens of other routers.
  5: i64 unread_tokens   // Those of them that are sent and unread.
  6: bool limits_prompts // Whether the agent keeps to the prompt window.
  7: list<i64> admitted  // Waiting prompts of the receiver that it may send.
  8: i32 waiting         // Prompts of other routers that wait for admission.
  9: i32 waiting_for_loads  // Requests of other routers that wait for a load.
  10: double arrivals_per_s  // Of requests that other routers send.
}

// A crash of a server.
struct ServerCrash {
  1: i64 id              // Hash of the server and its start.
  2: i64 age_ms          // Time since the crash.
  3: list<LostRequest> requests  // Without the parts cleared since.
}

// The crashes that may have been caused by a request: those of the agent's
// engine, and those of plain servers that routers have told the agent. Sent by
// an agent to all routers some times after each change, and to a router that is
// new to the agent.
struct CrashReport {
  1: list<ServerCrash> crashes
}

// What the ledger of a workspace knows, as of the last reports.
struct QuotaView {
  1: i64 workspace       // Hash of the name.
  2: double level        // Left in the bucket of all routers.
  3: double asked_per_s  // At all routers.
  4: double own_asked_per_s  // At the receiver.
  5: double counted_use  // Use of the receiver that `level` includes.
}

// Sent by an agent to the routers that have reported quotas to it, with each
// status and more often while a workspace is near its limit.
struct QuotaViews {
  1: i64 incarnation     // Incarnation of the agent.
  2: i64 sequence        // Increases with each datagram of the incarnation.
  3: list<QuotaView> views
}

// A plain server that a call may use.
struct PlaceOption {
  1: i64 server          // Hash of the id.
  2: i32 places          // Calls that the server runs at a time.
  3: i32 penalty         // Running calls that its drawbacks weigh.
}

// A call to a plain service that waits for a place.
struct PlaceAsk {
  1: i64 id              // Unique within the incarnation of the router.
  2: list<PlaceOption> options
  3: i32 priority        // 0 is first.
  4: i64 useful_ms       // The call is late afterwards.
  5: i64 workspace       // Hash of the name; 0 without one.
  6: double weight = 1   // Of the share of the workspace.
}

// A call that has a place.
struct PlaceUse {
  1: i64 id
  2: i64 server          // Hash of the id.
  3: i64 workspace       // Hash of the name; 0 without one.
}

// All calls of a router to a plain service. Sent to the agent that keeps the
// places of the service.
struct PlaceDemand {
  1: i64 incarnation     // Incarnation of the router.
  2: i64 sequence        // Increases with each demand of the incarnation.
  3: i64 service_hash    // Hash of the name.
  4: list<PlaceAsk> asks
  5: list<PlaceUse> running
}

// How many calls come before a call that waits.
struct PlaceWait {
  1: i64 id
  2: i32 ahead
}

// The answer to a demand, repeated when places were granted since.
struct PlaceGrants {
  1: i64 service_hash    // Hash of the name.
  2: i64 sequence        // Of the last demand.
  3: list<PlaceUse> grants  // Of the calls that are not listed as running.
  4: list<PlaceWait> waits  // Of the calls without a grant.
}

struct AgentDatagram {
  1: optional AdapterDemand demand
  2: optional EngineStatus status
  3: optional EngineLoad load
  4: optional CrashReport crash_report
  5: optional QuotaViews quotas
  6: optional PlaceDemand place_demand
  7: optional PlaceGrants place_grants
}
