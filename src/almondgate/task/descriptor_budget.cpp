#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"

#include <algorithm>
#include <filesystem>
#include <sys/resource.h>
#include <utility>
#include <vector>

namespace almondgate::task {

namespace {

// The store, the log, the event loop, listeners, probes, and the inner
// connections of some 60 processes.
constexpr size_t ReservedDescriptors = 200;
// A process with few descriptors keeps this part of them for connections.
constexpr size_t MinConnectionsPart = 3;
// Each kind of connection always gets this part of the connections.
constexpr size_t GuaranteedPart = 4;
// Keeps the arithmetic on limits such as RLIM_INFINITY within range.
constexpr size_t MaxDescriptors = size_t{1} << 20;

constexpr std::array KindNames = {"inbound", "outbound", "internal"};

size_t countOpenDescriptors() {
  std::error_code error;
  const std::filesystem::directory_iterator rows("/proc/self/fd", error);
  return error ? 0 : size_t(std::distance(begin(rows), end(rows)));
}

} // namespace

DescriptorLimits planDescriptors(size_t n) {
  n = std::min(n, MaxDescriptors);
  const size_t reserved =
      std::min(ReservedDescriptors, n - n / MinConnectionsPart);
  const size_t connections = n - reserved;
  const size_t most =
      std::max<size_t>(1, connections - connections / GuaranteedPart);
  return {connections, most, most, reserved};
}

DescriptorLimits processDescriptorLimits() {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0)
    return planDescriptors(ReservedDescriptors);
  return planDescriptors(
      size_t(std::min<rlim_t>(files.rlim_cur, MaxDescriptors)));
}

DescriptorLease::DescriptorLease(std::weak_ptr<DescriptorBudget> budget,
                                 DescriptorKind kind)
    : Budget(std::move(budget)), Kind(kind) {}

DescriptorLease::DescriptorLease(DescriptorLease &&other) noexcept
    : Budget(std::exchange(other.Budget, {})), Kind(other.Kind) {}

DescriptorLease &DescriptorLease::operator=(DescriptorLease &&other) noexcept {
  if (this == &other)
    return *this;
  release();
  Budget = std::exchange(other.Budget, {});
  Kind = other.Kind;
  return *this;
}

void DescriptorLease::release() {
  if (const auto budget = std::exchange(Budget, {}).lock())
    budget->release(Kind);
}

DescriptorBudget::DescriptorBudget(DescriptorLimits limits, Defer defer)
    : Limits(limits), RunLater(std::move(defer)) {}

std::shared_ptr<DescriptorBudget> DescriptorBudget::ofProcess(Loop &loop) {
  return std::make_shared<DescriptorBudget>(
      processDescriptorLimits(),
      [&loop](std::function<void()> fn) { loop.defer(std::move(fn)); });
}

uint64_t DescriptorBudget::addUser(DescriptorKind kind, DescriptorUser user) {
  Users.emplace(NextUser, User{kind, std::move(user)});
  return NextUser++;
}

void DescriptorBudget::removeUser(uint64_t id) { Users.erase(id); }

size_t DescriptorBudget::limitOf(DescriptorKind kind) const {
  return kind == DescriptorKind::Inbound ? Limits.Inbound : Limits.Outbound;
}

bool DescriptorBudget::hasRoom(DescriptorKind kind) const {
  return used(kind) < limitOf(kind) &&
         used(DescriptorKind::Inbound) + used(DescriptorKind::Outbound) <
             Limits.Connections;
}

// Below the limit of its own kind, a connection may take the place of one of
// the other kind, which then has more than its guaranteed part.
bool DescriptorBudget::closeLongestIdle(DescriptorKind kind) {
  const bool any_kind = used(kind) < limitOf(kind);
  const User *longest = nullptr;
  std::optional<core::TimeMs> since;
  for (const auto &[id, user] : Users) {
    if (user.Kind != kind && !any_kind)
      continue;
    const auto idle = user.Hooks.LongestIdle();
    if (idle && (!since || *idle < *since)) {
      since = idle;
      longest = &user;
    }
  }
  if (!longest)
    return false;
  const size_t before = used(longest->Kind);
  const DescriptorKind closed = longest->Kind;
  longest->Hooks.CloseLongestIdle();
  ++ClosedIdle;
  return used(closed) < before;
}

std::optional<DescriptorLease> DescriptorBudget::take(DescriptorKind kind) {
  while (!hasRoom(kind)) {
    if (closeLongestIdle(kind))
      continue;
    ++Refused[size_t(kind)];
    Short = true;
    return std::nullopt;
  }
  return add(kind);
}

DescriptorLease DescriptorBudget::takeReserved() {
  return add(DescriptorKind::Internal);
}

DescriptorLease DescriptorBudget::add(DescriptorKind kind) {
  ++Used[size_t(kind)];
  return {weak_from_this(), kind};
}

void DescriptorBudget::release(DescriptorKind kind) {
  --Used[size_t(kind)];
  notifyLater();
}

void DescriptorBudget::notifyLater() {
  if (!Short || std::exchange(Notifying, true))
    return;
  RunLater([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->notify();
  });
}

// Begins with another user each time, so that none of them takes all that
// becomes free. A user may be removed by the function of another one.
void DescriptorBudget::notify() {
  Notifying = false;
  Short = false;
  std::vector<uint64_t> ids;
  for (auto it = Users.lower_bound(NextNotified); it != Users.end(); ++it)
    ids.push_back(it->first);
  for (auto it = Users.begin(); it != Users.lower_bound(NextNotified); ++it)
    ids.push_back(it->first);
  if (!ids.empty())
    NextNotified = ids.front() + 1;
  for (const uint64_t id : ids) {
    const auto it = Users.find(id);
    if (it == Users.end())
      continue;
    const auto on_room = it->second.Hooks.OnRoom;
    on_room();
  }
}

size_t DescriptorBudget::outboundRoom() const {
  return std::min(Limits.Outbound,
                  Limits.Connections -
                      std::min(Limits.Inbound, used(DescriptorKind::Inbound)));
}

std::string DescriptorBudget::metricsText() const {
  std::string out;
  const auto line = [&](const std::string &name, uint64_t n) {
    out += "almondgate_" + name + " " + std::to_string(n) + "\n";
  };
  size_t counted = 0;
  for (size_t kind = 0; kind < Kinds; ++kind) {
    const std::string label = std::string("{kind=\"") + KindNames[kind] + "\"}";
    line("descriptors_used" + label, Used[kind]);
    line("descriptors_refused_total" + label, Refused[kind]);
    counted += Used[kind];
  }
  const size_t open = countOpenDescriptors();
  line("descriptors_used{kind=\"files\"}", open - std::min(open, counted));
  line("descriptors_limit{kind=\"inbound\"}", Limits.Inbound);
  line("descriptors_limit{kind=\"outbound\"}", Limits.Outbound);
  line("descriptors_limit{kind=\"connections\"}", Limits.Connections);
  line("descriptors_limit{kind=\"reserved\"}", Limits.Reserved);
  line("idle_connections_closed_total", ClosedIdle);
  line("accept_pauses_total", Pauses);
  return out;
}

} // namespace almondgate::task
