#ifndef ALMONDGATE_ENTRY_RELEASE_SENDER_HPP
#define ALMONDGATE_ENTRY_RELEASE_SENDER_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/model/release.hpp"

#include <functional>
#include <list>

namespace almondgate::entry {

/// What a ReleaseSender asks of the world around it.
struct ReleaseSenderHooks {
  core::Clock Now;
  /// Sends to the pool's owner of the moment.
  std::function<void(const model::Release &, std::function<void(core::Status)>)>
      Send;
};

/// Repeats each release until a pool's owner has taken it, or so long that the
/// endpoint's own reports have told the owner.
class ReleaseSender {
public:
  explicit ReleaseSender(ReleaseSenderHooks hooks);

  void send(const model::Release &release);

  /// Sends again what is due; call every few milliseconds.
  void tick();

  size_t pending() const { return Pending.size(); }

private:
  struct Item {
    model::Release What;
    core::TimeMs Since;
    core::TimeMs Due;
    bool Waiting = false;
  };
  using ItemList = std::list<Item>;

  void trySend(ItemList::iterator it);

  const ReleaseSenderHooks Hooks;
  ItemList Pending;
};

} // namespace almondgate::entry

#endif
