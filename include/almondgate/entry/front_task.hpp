#ifndef ALMONDGATE_ENTRY_FRONT_TASK_HPP
#define ALMONDGATE_ENTRY_FRONT_TASK_HPP

#include "almondgate/entry/front_message.hpp"
#include "almondgate/http/server.hpp"
#include "almondgate/task/mailbox.hpp"

#include <functional>
#include <map>

namespace almondgate::entry {

/// Owns the callers' connections. Passes each request on as a message, and each
/// answer back.
class FrontTask {
public:
  /// False where the receiver's mailbox is full.
  using Post = std::function<bool(FrontEvent)>;

  FrontTask(task::Loop &loop, Post post);

  core::Status listen(const core::Address &address);

  /// Where the answers go.
  task::Mailbox<ResponseReady> &mailbox() { return Inbox; }

  void drain() { Http.drain(); }
  void stopAccepting() { Http.stopAccepting(); }
  size_t openRequests() const { return Http.openRequests(); }

private:
  void onExchange(http::Exchange exchange);
  void onResponse(const ResponseReady &answer);

  const Post Send;
  std::map<uint64_t, std::function<void(const http::Response &)>> Open;
  uint64_t NextExchange = 1;
  http::Server Http;
  task::Mailbox<ResponseReady> Inbox;
};

} // namespace almondgate::entry

#endif
