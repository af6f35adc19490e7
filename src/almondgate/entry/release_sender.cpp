#include "almondgate/entry/release_sender.hpp"

namespace almondgate::entry {

namespace {

constexpr core::DurationMs RetryInterval{100};
constexpr core::DurationMs MaxRetryTime{60000};

} // namespace

ReleaseSender::ReleaseSender(ReleaseSenderHooks hooks)
    : Hooks(std::move(hooks)) {}

void ReleaseSender::send(const model::Release &release) {
  const auto now = Hooks.Now();
  trySend(Pending.insert(Pending.end(), Item{release, now, now, false}));
}

void ReleaseSender::trySend(ItemList::iterator it) {
  it->InFlight = true;
  Hooks.Send(it->Release, [this, it](const core::Status &status) {
    const auto now = Hooks.Now();
    if (status || now - it->QueuedAt > MaxRetryTime) {
      Pending.erase(it);
      return;
    }
    it->InFlight = false;
    it->RetryAt = now + RetryInterval;
  });
}

void ReleaseSender::tick() {
  const auto now = Hooks.Now();
  for (auto it = Pending.begin(); it != Pending.end();) {
    const auto next = std::next(it);
    if (!it->InFlight && now >= it->RetryAt)
      trySend(it);
    it = next;
  }
}

} // namespace almondgate::entry
