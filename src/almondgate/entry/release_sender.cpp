#include "almondgate/entry/release_sender.hpp"

namespace almondgate::entry {

namespace {

constexpr core::DurationMs RetryAfter{100};
constexpr core::DurationMs GiveUpAfter{60000};

} // namespace

ReleaseSender::ReleaseSender(ReleaseSenderHooks hooks)
    : Hooks(std::move(hooks)) {}

void ReleaseSender::send(const model::Release &release) {
  const auto now = Hooks.Now();
  trySend(Pending.insert(Pending.end(), Item{release, now, now, false}));
}

void ReleaseSender::trySend(ItemList::iterator it) {
  it->Waiting = true;
  Hooks.Send(it->What, [this, it](const core::Status &status) {
    const auto now = Hooks.Now();
    if (status || now - it->Since > GiveUpAfter) {
      Pending.erase(it);
      return;
    }
    it->Waiting = false;
    it->Due = now + RetryAfter;
  });
}

void ReleaseSender::tick() {
  const auto now = Hooks.Now();
  for (auto it = Pending.begin(); it != Pending.end();) {
    const auto next = std::next(it);
    if (!it->Waiting && now >= it->Due)
      trySend(it);
    it = next;
  }
}

} // namespace almondgate::entry
