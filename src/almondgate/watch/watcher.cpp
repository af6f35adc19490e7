#include "almondgate/watch/watcher.hpp"
#include "almondgate/encoding/codec.hpp"

namespace almondgate::watch {

using core::DurationMs;

namespace {

constexpr DurationMs PollTimeout{4000};
constexpr DurationMs RetryDelay{50};

} // namespace

Watcher::Watcher(task::Loop &loop, ControlClient &control,
                 model::ProcessInfo self, WatcherHooks hooks)
    : Control(control), Self(std::move(self)), Hooks(std::move(hooks)),
      Retry(loop) {}

void Watcher::start() { poll(true); }

void Watcher::pollNow() { poll(false); }

void Watcher::setStopping() {
  Stopping = true;
  poll(false);
}

void Watcher::poll(bool repeat) {
  model::WatchRequest request;
  request.From = Self;
  request.Revision = View.Revision;
  request.Stopping = Stopping;
  Hooks.FillRequest(request);
  // Freshness is measured from the time of sending, so the reply to a poll that
  // was retried at another member only appears older than it is.
  const auto sent = core::monotonicNow();
  Control.call(protocol::Method::Watch, encoding::encode(request), PollTimeout,
               [this, repeat, sent](const core::Result<std::string> &reply) {
                 onReply(reply, sent);
                 if (!repeat)
                   return;
                 if (reply)
                   poll(true);
                 else
                   Retry.once(RetryDelay, [this] { poll(true); });
               });
}

void Watcher::onReply(const core::Result<std::string> &reply,
                      core::TimeMs sent) {
  if (!reply)
    return;
  const auto decoded = encoding::decode<model::WatchReply>(reply.value());
  if (!decoded)
    return;
  apply(decoded.value());
  const auto confirmed = sent - DurationMs{decoded.value().ConfirmedAgeMs};
  ConfirmedAt = std::max(ConfirmedAt, confirmed);
  Returns = decoded.value().Returns;
  Processes = decoded.value().Processes;
  Hooks.OnReply();
}

void Watcher::apply(const model::WatchReply &reply) {
  if (reply.Revision <= View.Revision)
    return;
  if (reply.Snapshot) {
    View = model::withUpdates(model::View{}, reply.Updates);
    View.Revision = reply.Revision;
    return;
  }
  // Polls may overlap: skip updates that an earlier reply already contained.
  const uint64_t have = View.Revision;
  for (const auto &update : reply.Updates)
    if (update.Revision > have)
      View.apply(update);
  View.Revision = reply.Revision;
}

} // namespace almondgate::watch
