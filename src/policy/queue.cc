#include "amaranthcove/policy/queue.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <optional>
#include <tuple>
#include <vector>

namespace amaranthcove::policy {

namespace {

constexpr std::size_t kMaximumSlots = 32;
constexpr std::size_t kNone = static_cast<std::size_t>(-1);

// Priority of a request; lower values are served first.
enum class Rank : std::uint8_t { kUrgent, kPromoted, kPatient };

// Waiting requests of one adapter that is neither resident nor loading.
struct Group {
  AdapterKey adapter = 0;
  Rank rank = Rank::kPatient;  // Lowest rank of the requests.
  std::uint32_t urgent = 0;
  std::uint32_t patient = 0;  // Includes promoted requests.
  Time oldest = Time::max();  // Earliest arrival of the requests with `rank`.
};

// A request that cannot start because of running requests; see `drain_after`.
struct Blocked {
  bool alone = false;
  std::size_t slot = kNone;  // Slot that is drained for it.
  Time arrival{};
};

// Computes one step. The object is used for a single call of `NextStep`.
class Planner {
 public:
  Planner(std::span<const WaitingRequest> requests,
          const EngineView& engine,
          const PopularityTable& popularity,
          const QueueSettings& settings,
          Time now)
      : requests_(requests),
        engine_(engine),
        popularity_(popularity),
        settings_(settings),
        now_(now),
        slot_count_(std::min(engine.slots.size(), kMaximumSlots)) {
    std::copy_n(engine.slots.begin(), slot_count_, slots_.begin());
    for (Slot& slot : Slots()) {
      slot.queued_urgent = 0;
      slot.queued_patient = 0;
    }
  }

  Step Plan() {
    if (const std::size_t expired = FindExpired(); expired != kNone) {
      return {.kind = StepKind::kRefuse, .request = expired};
    }
    if (engine_.alone_running) {
      return {.hold_until = hold_until_};
    }
    CountDemand();
    FindBlocked();
    if (const std::optional<Step> step = PlanStart()) {
      return *step;
    }
    if (const std::optional<Step> step = PlanLoad()) {
      return *step;
    }
    return {.hold_until = hold_until_};
  }

 private:
  std::span<Slot> Slots() { return {slots_.data(), slot_count_}; }

  void HoldUntil(Time time) { hold_until_ = std::min(hold_until_, time); }

  Rank RankOf(const WaitingRequest& request) const {
    if (request.urgent) {
      return Rank::kUrgent;
    }
    return PromotionTime(request) <= now_ ? Rank::kPromoted : Rank::kPatient;
  }

  std::size_t FindExpired() {
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      if (requests_[i].deadline <= now_) {
        return i;
      }
      HoldUntil(requests_[i].deadline);
      if (RankOf(requests_[i]) == Rank::kPatient) {
        HoldUntil(PromotionTime(requests_[i]));
      }
    }
    return kNone;
  }

  std::size_t SlotOf(AdapterKey adapter) const {
    for (std::size_t s = 0; s < slot_count_; ++s) {
      if (slots_[s].adapter == adapter) {
        return s;
      }
    }
    return kNone;
  }

  // Assigns the requests to slots or groups: fills in `slot_of_`, `groups_` and
  // the numbers of queued requests of the slots. Then chooses `victim_`.
  void CountDemand() {
    slot_of_.resize(requests_.size());
    index_.assign(std::bit_ceil(requests_.size() * 2 + 1), 0);
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      const WaitingRequest& request = requests_[i];
      const std::size_t s = SlotOf(request.adapter);
      slot_of_[i] = s;
      if (s == kNone) {
        AddToGroup(request);
      } else if (request.urgent) {
        ++slots_[s].queued_urgent;
      } else {
        ++slots_[s].queued_patient;
      }
    }
    victim_ = ChooseVictim(Slots(), settings_.weights);
  }

  void AddToGroup(const WaitingRequest& request) {
    const std::size_t mask = index_.size() - 1;
    std::size_t at = request.adapter & mask;
    while (index_[at] != 0 &&
           groups_[index_[at] - 1].adapter != request.adapter) {
      at = (at + 1) & mask;
    }
    if (index_[at] == 0) {
      groups_.push_back({.adapter = request.adapter});
      index_[at] = static_cast<std::uint32_t>(groups_.size());
    }
    Group& group = groups_[index_[at] - 1];
    ++(request.urgent ? group.urgent : group.patient);
    const Rank rank = RankOf(request);
    if (rank < group.rank) {
      group.rank = rank;
      group.oldest = request.arrival;
    } else if (rank == group.rank) {
      group.oldest = std::min(group.oldest, request.arrival);
    }
  }

  // Finds the oldest request that still cannot start after `drain_after`.
  void FindBlocked() {
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      const WaitingRequest& request = requests_[i];
      const bool no_slot = slot_of_[i] == kNone && !victim_;
      const bool no_empty_batch = request.run_alone && engine_.running > 0;
      if (RankOf(request) == Rank::kPatient || (!no_slot && !no_empty_batch)) {
        continue;
      }
      const Time drain_at = request.arrival + settings_.drain_after;
      if (drain_at > now_) {
        HoldUntil(drain_at);
      } else if (!blocked_ || request.arrival < blocked_->arrival) {
        blocked_ = {.alone = no_empty_batch, .arrival = request.arrival};
      }
    }
    if (blocked_ && !blocked_->alone) {
      blocked_->slot = LeastValuablePinnedSlot();
    }
  }

  std::size_t LeastValuablePinnedSlot() const {
    std::size_t least = kNone;
    std::tuple<std::uint32_t, double> least_key;
    for (std::size_t s = 0; s < slot_count_; ++s) {
      if (slots_[s].loading) {
        continue;
      }
      const std::tuple key(slots_[s].pins,
                           SlotValue(slots_[s], settings_.weights));
      if (least == kNone || key < least_key) {
        least = s;
        least_key = key;
      }
    }
    return least;
  }

  bool MayStart(std::size_t i, std::uint32_t free_places) const {
    const WaitingRequest& request = requests_[i];
    const std::size_t s = slot_of_[i];
    if (s == kNone || slots_[s].loading) {
      return false;
    }
    if (request.run_alone && engine_.running > 0) {
      return false;
    }
    if (RankOf(request) == Rank::kPatient &&
        free_places <= ReservedPlaces(engine_, settings_.weights)) {
      return false;
    }
    if (RankOf(request) == Rank::kPatient && slots_[s].pins == 0 &&
        UnpinnedSlots() <= ReservedSlots()) {
      return false;
    }
    const bool delays_blocked = blocked_ && request.arrival > blocked_->arrival;
    return !delays_blocked || (!blocked_->alone && blocked_->slot != s);
  }

  std::optional<Step> PlanStart() const {
    const std::uint32_t free_places = FreePlaces();
    if (free_places == 0) {
      return std::nullopt;
    }
    std::size_t best = kNone;
    std::tuple<Rank, Time> best_key;
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      if (!MayStart(i, free_places)) {
        continue;
      }
      const std::tuple key(RankOf(requests_[i]), requests_[i].deadline);
      if (best == kNone || key < best_key) {
        best = i;
        best_key = key;
      }
    }
    if (best == kNone) {
      return std::nullopt;
    }
    return Step{
        .kind = StepKind::kStart,
        .request = best,
        .slot = slot_of_[best],
        .adapter = requests_[best].adapter,
        .urgent = requests_[best].urgent,
    };
  }

  std::uint32_t FreePlaces() const {
    return engine_.batch_places -
           std::min(engine_.running, engine_.batch_places);
  }

  std::optional<Step> PlanLoad() {
    const auto loads =
        std::count_if(slots_.begin(),
                      slots_.begin() + static_cast<std::ptrdiff_t>(slot_count_),
                      [](const Slot& slot) { return slot.loading; });
    if (groups_.empty() || !victim_ || loads >= settings_.maximum_loads) {
      return std::nullopt;
    }
    const Group& group = *std::max_element(
        groups_.begin(), groups_.end(), [this](const Group& a, const Group& b) {
          return std::tuple(b.rank, GroupValue(a)) <
                 std::tuple(a.rank, GroupValue(b));
        });
    const bool urgent = group.rank != Rank::kPatient;
    if (urgent ? !AllowsUrgentLoad(group) : !AllowsPatientLoad(group)) {
      return std::nullopt;
    }
    const Time allowed_at =
        urgent ? engine_.urgent_load_at : engine_.patient_load_at;
    if (allowed_at > now_) {
      HoldUntil(allowed_at);
      return std::nullopt;
    }
    return Step{
        .kind = StepKind::kLoad,
        .slot = *victim_,
        .adapter = group.adapter,
        .urgent = urgent,
    };
  }

  double GroupValue(const Group& group) const {
    return group.urgent * settings_.weights.queued_urgent +
           group.patient * settings_.weights.queued_patient +
           ToSeconds(now_ - group.oldest);
  }

  // Returns false if at least as many urgent requests wait for the adapter of
  // the victim. They wait only for a batch place and would have to load their
  // adapter again.
  bool AllowsUrgentLoad(const Group& group) const {
    const Slot& victim = slots_[*victim_];
    return victim.queued_urgent == 0 || victim.queued_urgent < group.urgent;
  }

  bool AllowsPatientLoad(const Group& group) {
    const std::uint32_t spare_places =
        ReservedPlaces(engine_, settings_.weights);
    const bool place_stays_empty = FreePlaces() > spare_places;
    const bool justified =
        group.patient >= settings_.weights.patient_group || place_stays_empty;
    return justified && UnpinnedSlots() > ReservedSlots() &&
           IsPatientLoadWorthwhile(group.patient,
                                   popularity_.Rate(group.adapter, now_),
                                   slots_[*victim_], settings_.weights);
  }

  std::size_t UnpinnedSlots() const {
    std::size_t count = 0;
    for (std::size_t s = 0; s < slot_count_; ++s) {
      count += !slots_[s].loading && slots_[s].pins == 0 ? 1U : 0U;
    }
    return count;
  }

  // Returns the number of unpinned slots that patient requests must leave for
  // urgent loads. One slot is reserved if urgent requests are expected.
  std::size_t ReservedSlots() const {
    return slot_count_ > 2 && ReservedPlaces(engine_, settings_.weights) > 0
               ? 1
               : 0;
  }

  std::span<const WaitingRequest> requests_;
  const EngineView& engine_;
  const PopularityTable& popularity_;
  const QueueSettings& settings_;
  Time now_;
  std::array<Slot, kMaximumSlots> slots_;
  std::size_t slot_count_;
  // Slot of each request, or kNone if its adapter has no slot.
  std::vector<std::size_t> slot_of_;
  std::vector<Group> groups_;
  // Hash table by adapter: index in `groups_` plus 1, or 0 if empty.
  std::vector<std::uint32_t> index_;
  std::optional<std::size_t> victim_;
  std::optional<Blocked> blocked_;
  Time hold_until_ = Time::max();
};

}  // namespace

Time PromotionTime(const WaitingRequest& request) {
  return request.arrival + (request.deadline - request.arrival) / 2;
}

std::uint32_t ReservedPlaces(const EngineView& engine,
                             const PolicyWeights& weights) {
  // No place is reserved if less than one urgent request is expected in 20
  // times `reserve_s`.
  const double expected = engine.urgent_rate * weights.reserve_s;
  const double places = expected < 0.05 ? 0 : std::ceil(expected);
  return std::min(static_cast<std::uint32_t>(places), engine.batch_places / 4);
}

Step NextStep(std::span<const WaitingRequest> requests,
              const EngineView& engine,
              const PopularityTable& popularity,
              const QueueSettings& settings,
              Time now) {
  if (requests.empty()) {
    return {};
  }
  return Planner(requests, engine, popularity, settings, now).Plan();
}

}  // namespace amaranthcove::policy
