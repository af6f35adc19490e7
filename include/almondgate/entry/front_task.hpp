#ifndef ALMONDGATE_ENTRY_FRONT_TASK_HPP
#define ALMONDGATE_ENTRY_FRONT_TASK_HPP

#include "almondgate/entry/front_message.hpp"
#include "almondgate/http/server.hpp"
#include "almondgate/task/mailbox.hpp"

#include <functional>
#include <map>
#include <memory>

namespace almondgate::entry {

/// Owns the callers' connections. Forwards each request as a message and sends
/// each response back to its caller.
class FrontTask {
public:
  /// Returns false if the receiver's mailbox is full.
  using Post = std::function<bool(FrontEvent)>;

  FrontTask(task::Loop &loop, std::shared_ptr<http::ServerBudget> budget,
            Post post);

  core::Status listen(const core::Address &address);
  bool isListening() const { return Http.isListening(); }

  /// Receives the responses.
  task::Mailbox<ResponseReady> &mailbox() { return Inbox; }

  void drain() { Http.drain(); }
  void stopAccepting() { Http.stopAccepting(); }
  size_t openRequests() const { return Http.openRequests(); }
  bool isIdle() const { return Http.isIdle(); }

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
