#include "almondgate/dispatch/pending_configs.hpp"

#include "dispatch_errors.hpp"

#include <utility>

namespace almondgate::dispatch {

void PendingConfigs::add(const jobs::FleetConfig &config,
                         const OnStatus &done) {
  Waiters.push_back({config.Version, done});
  const uint64_t newest = Next ? Next->Version : Recording;
  if (config.Version > newest)
    Next = config;
}

std::optional<jobs::FleetConfig> PendingConfigs::takeNext() {
  if (Recording > 0 || !Next)
    return std::nullopt;
  Recording = Next->Version;
  return std::exchange(Next, std::nullopt);
}

void PendingConfigs::settle(bool durable, uint64_t version_in_force) {
  const uint64_t recorded = std::exchange(Recording, 0);
  // A waiter's callback may add changes.
  for (auto &waiter : std::exchange(Waiters, {})) {
    if (durable && waiter.Version <= version_in_force)
      waiter.Done(core::ok());
    else if (waiter.Version > recorded)
      Waiters.push_back(std::move(waiter));
    else
      waiter.Done(outcomeUnknown());
  }
}

void PendingConfigs::clear() {
  Recording = 0;
  Next.reset();
  for (const auto &waiter : std::exchange(Waiters, {}))
    waiter.Done(outcomeUnknown());
}

} // namespace almondgate::dispatch
