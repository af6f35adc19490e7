#ifndef ALMONDGATE_ENTRY_RELEASE_SENDER_HPP
#define ALMONDGATE_ENTRY_RELEASE_SENDER_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/model/release.hpp"

#include <functional>
#include <list>

namespace almondgate::entry {

/// Operations that ReleaseSender needs from its host.
struct ReleaseSenderHooks {
  core::Clock Now;
  /// Sends to the pool's current owner.
  std::function<void(const model::Release &, std::function<void(core::Status)>)>
      Send;
};

/// Repeats each release until the pool's owner has acknowledged it or 60 s have
/// passed; by then the endpoint's own reports have reached the owner.
class ReleaseSender {
public:
  explicit ReleaseSender(ReleaseSenderHooks hooks);

  void send(const model::Release &release);

  /// Resends the releases that are due; call every few milliseconds.
  void tick();

  size_t pending() const { return Pending.size(); }

private:
  struct Item {
    model::Release Release;
    core::TimeMs QueuedAt;
    core::TimeMs RetryAt;
    bool InFlight = false;
  };
  using ItemList = std::list<Item>;

  void trySend(ItemList::iterator it);

  const ReleaseSenderHooks Hooks;
  ItemList Pending;
};

} // namespace almondgate::entry

#endif
