#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/observe/log.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/timer.hpp"

#include "body_class.hpp"
#include "http2_session.hpp"
#include "send_room.hpp"
#include "wire.hpp"

#include <exception>
#include <map>
#include <random>
#include <vector>

namespace almondgate::protocol {

using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::TimeMs;

namespace {

constexpr DurationMs ConnectTimeout{1000};
constexpr DurationMs InitialBackoff{20};
constexpr DurationMs MaxBackoff{1000};
constexpr DurationMs DeadlineCheckInterval{50};

// No exception may pass through the C code of libuv.
void finish(const RpcClient::OnReply &done, core::Result<std::string> reply) {
  try {
    done(std::move(reply));
  } catch (const std::exception &e) {
    observe::logError("inner", std::string("the handler of a reply failed: ") +
                                   e.what());
  }
}

struct PendingCall {
  Method CallMethod;
  RpcClient::OnReply Done;
  TimeMs StartedAt;
  TimeMs Deadline;
  HeldBytes Held;
};

struct QueuedCall {
  std::string Body;
  PendingCall Pending;
  RpcClient::MaySend MaySend;
  HeldBytes Held;
};

/// The connection to one process.
class PeerConnection {
public:
  PeerConnection(task::Loop &loop, core::Address address,
                 const RpcOptions &options, std::shared_ptr<PeerBudget> budget)
      : Loop(loop), PeerAddress(std::move(address)), Options(options),
        Share(std::make_shared<PeerShare>(std::move(budget))),
        DeadlineTimer(loop), Jitter(std::random_device{}()) {}

  void call(Method method, std::string body, DurationMs timeout,
            RpcClient::OnReply done, RpcClient::MaySend may_send);

private:
  void connect();
  void onConnected(const core::Status &status);
  void send(QueuedCall call);
  bool onHeaders(int32_t id, IncomingStream &message);
  void refuseReply(int32_t id);
  void onMessage(int32_t id, IncomingStream &message);
  void onStreamClosed(int32_t id);
  void disconnect(const Error &error);
  void checkDeadlines();
  void startDeadlineTimer();
  void scheduleRetry();

  task::Loop &Loop;
  const core::Address PeerAddress;
  const RpcOptions &Options;
  const std::shared_ptr<PeerShare> Share;
  std::shared_ptr<task::TcpStream> Socket;
  task::DescriptorLease Lease;
  std::shared_ptr<Http2Session> Session;
  bool Connected = false;
  bool Receiving = false;
  TimeMs ConnectStartedAt;
  TimeMs LastReceivedAt;
  TimeMs RetryAt;
  DurationMs Backoff = InitialBackoff;
  std::vector<QueuedCall> Queue;
  std::map<int32_t, PendingCall> Pending;
  task::Timer DeadlineTimer;
  bool CheckingDeadlines = false;
  std::minstd_rand Jitter;
};

void PeerConnection::call(Method method, std::string body, DurationMs timeout,
                          RpcClient::OnReply done,
                          RpcClient::MaySend may_send) {
  const TimeMs now = core::monotonicNow();
  if (!Socket && now < RetryAt) {
    // Deferred to a later loop iteration: callers do not expect `done` to run
    // within call().
    Loop.defer([done = std::move(done), to = core::toString(PeerAddress)] {
      finish(done, Error{ErrorCode::Unavailable,
                         "no connection to " + to +
                             "; waiting before the next attempt"});
    });
    return;
  }
  HeldBytes held(Share, classOf(method, body.size()));
  HeldBytes overhead(Share, classOf(method, body.size()));
  if (!overhead.growTo(CallOverheadBytes) || !held.growTo(body.size())) {
    Loop.defer([done = std::move(done), to = core::toString(PeerAddress)] {
      finish(done, Error{ErrorCode::Overloaded,
                         "call to " + to +
                             " not sent: too many bytes are held for peers",
                         core::RunOutcome::NotRun});
    });
    return;
  }
  QueuedCall queued{
      std::move(body),
      {method, std::move(done), now, now + timeout, std::move(overhead)},
      std::move(may_send),
      std::move(held)};
  startDeadlineTimer();
  if (Connected) {
    send(std::move(queued));
    // nghttp2 does not allow sending from within its callbacks.
    if (!Receiving)
      Session->flush();
    return;
  }
  Queue.push_back(std::move(queued));
  if (!Socket)
    connect();
}

void PeerConnection::connect() {
  ConnectStartedAt = core::monotonicNow();
  task::TcpStreamHooks hooks;
  hooks.OnData = [this](std::string_view data) {
    LastReceivedAt = core::monotonicNow();
    const auto session = Session;
    Receiving = true;
    const bool valid = session->receive(data);
    Receiving = false;
    if (session != Session)
      return;
    session->flush();
    if (!valid)
      disconnect({ErrorCode::Unavailable, "HTTP/2 session failed"});
  };
  hooks.OnClose = [this](const Error &error) { disconnect(error); };
  hooks.OnWritten = [this] {
    if (Session)
      Session->flush();
  };
  if (Options.Descriptors)
    Lease = Options.Descriptors->takeReserved();
  Socket = std::make_shared<task::TcpStream>(Loop, std::move(hooks));
  Socket->connect(PeerAddress,
                  [this](const core::Status &status) { onConnected(status); });
}

void PeerConnection::onConnected(const core::Status &status) {
  if (!status) {
    scheduleRetry();
    disconnect(status.error());
    return;
  }
  Connected = true;
  Backoff = InitialBackoff;
  LastReceivedAt = core::monotonicNow();
  Http2SessionHooks hooks;
  hooks.Send = [this](std::string data) { Socket->write(std::move(data)); };
  hooks.SendRoom = [socket = Socket.get()] { return sendRoom(*socket); };
  hooks.OnHeaders = [this](int32_t id, IncomingStream &message) {
    return onHeaders(id, message);
  };
  hooks.OnRefused = [this](int32_t id) { refuseReply(id); };
  hooks.OnMessage = [this](int32_t id, IncomingStream &message) {
    onMessage(id, message);
  };
  hooks.OnStreamClosed = [this](int32_t id) { onStreamClosed(id); };
  Session = std::make_shared<Http2Session>(false, Options.MaxBodyBytes,
                                           std::move(hooks));
  Session->widenWindows();
  for (auto &queued : std::exchange(Queue, {}))
    send(std::move(queued));
  Session->flush();
}

void PeerConnection::send(QueuedCall call) {
  if (call.MaySend && !call.MaySend()) {
    Loop.defer([done = std::move(call.Pending.Done)] {
      finish(done, Error{ErrorCode::Cancelled,
                         "not sent: the caller no longer permits it"});
    });
    return;
  }
  const std::string path =
      std::string(PathPrefix) + methodName(call.Pending.CallMethod);
  const std::string length = std::to_string(call.Body.size());
  const int32_t id = Session->request(
      {{":method", "POST"},
       {":scheme", "http"},
       {":authority", "almondgate"},
       {":path", path},
       {"content-length", length},
       {SecretHeader, Options.Secret}},
      std::move(call.Body), std::move(call.Held), int(call.Pending.CallMethod));
  if (id < 0) {
    finish(call.Pending.Done, Error{ErrorCode::Unavailable,
                                    core::toString(PeerAddress) +
                                        ": no HTTP/2 stream could be opened"});
    return;
  }
  Pending.emplace(id, std::move(call.Pending));
}

bool PeerConnection::onHeaders(int32_t id, IncomingStream &message) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return false;
  const size_t length = message.contentLength();
  message.Held = HeldBytes(Share, classOf(it->second.CallMethod, length));
  if (length <= Options.MaxBodyBytes && message.Held.growTo(length))
    return true;
  refuseReply(id);
  return false;
}

// The call is answered when its stream closes.
void PeerConnection::refuseReply(int32_t id) { Session->reset(id); }

void PeerConnection::onMessage(int32_t id, IncomingStream &message) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  const auto done = std::move(it->second.Done);
  Pending.erase(it);
  // The peer may answer before it has read the call.
  if (Session)
    Session->cancelRequest(id);
  if (message.header(":status") == "200")
    finish(done, std::move(message.Body));
  else
    finish(done, encoding::decodeError(message.Body));
}

void PeerConnection::onStreamClosed(int32_t id) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  const auto done = std::move(it->second.Done);
  Pending.erase(it);
  finish(done, Error{ErrorCode::Unavailable,
                     core::toString(PeerAddress) +
                         ": the stream was closed before a reply"});
}

void PeerConnection::scheduleRetry() {
  const int64_t spread = Backoff.Count;
  RetryAt = core::monotonicNow() +
            DurationMs{spread / 2 + int64_t(Jitter()) % (spread + 1)};
  Backoff = std::min(Backoff * 2, MaxBackoff);
}

void PeerConnection::disconnect(const Error &error) {
  Connected = false;
  // Destroyed in a later loop iteration: this may run inside a callback of the
  // socket or the session.
  Loop.defer([socket = std::move(Socket), session = std::move(Session)] {});
  Socket = nullptr;
  Lease.release();
  Session = nullptr;
  const auto queue = std::exchange(Queue, {});
  const auto pending = std::exchange(Pending, {});
  const Error reported{ErrorCode::Unavailable,
                       core::toString(PeerAddress) + ": " + error.Text};
  for (const auto &call : queue)
    finish(call.Pending.Done, reported);
  for (const auto &[id, call] : pending)
    finish(call.Done, reported);
}

void PeerConnection::startDeadlineTimer() {
  if (CheckingDeadlines)
    return;
  CheckingDeadlines = true;
  DeadlineTimer.every(DeadlineCheckInterval, [this] { checkDeadlines(); });
}

void PeerConnection::checkDeadlines() {
  const TimeMs now = core::monotonicNow();
  if (!Connected && Socket && now - ConnectStartedAt > ConnectTimeout) {
    scheduleRetry();
    disconnect({ErrorCode::Unavailable,
                "connect timed out after " +
                    std::to_string(ConnectTimeout.Count) + " ms"});
    return;
  }
  std::vector<PendingCall> expired;
  for (auto it = Pending.begin(); it != Pending.end();) {
    if (it->second.Deadline > now) {
      ++it;
      continue;
    }
    Session->reset(it->first);
    expired.push_back(std::move(it->second));
    it = Pending.erase(it);
  }
  bool unresponsive = false;
  for (const auto &call : expired)
    unresponsive = unresponsive || LastReceivedAt < call.StartedAt;
  for (const auto &call : expired)
    finish(call.Done,
           Error{ErrorCode::DeadlineExceeded,
                 core::toString(PeerAddress) + ": no reply within " +
                     std::to_string((call.Deadline - call.StartedAt).Count) +
                     " ms"});
  if (unresponsive && Connected) {
    disconnect({ErrorCode::Unavailable,
                "no data received since the start of a call that timed out"});
    return;
  }
  if (!expired.empty() && Session)
    Session->flush();
  if (Pending.empty() && Queue.empty()) {
    CheckingDeadlines = false;
    DeadlineTimer.stop();
  }
}

} // namespace

struct RpcClient::State {
  task::Loop &Loop;
  const RpcOptions Options;
  const std::shared_ptr<PeerBudget> Budget;
  std::map<core::Address, std::unique_ptr<PeerConnection>> Peers;
};

RpcClient::RpcClient(task::Loop &loop, const RpcOptions &options)
    : S(new State{loop,
                  options,
                  std::make_shared<PeerBudget>(options.MaxHeldBytes),
                  {}}) {}

RpcClient::~RpcClient() = default;

void RpcClient::call(const core::Address &to, Method method, std::string body,
                     core::DurationMs timeout, OnReply done, MaySend may_send) {
  auto &peer = S->Peers[to];
  if (!peer)
    peer = std::make_unique<PeerConnection>(S->Loop, to, S->Options, S->Budget);
  peer->call(method, std::move(body), timeout, std::move(done),
             std::move(may_send));
}

core::BudgetReading RpcClient::budget() const {
  return S->Budget->read("peer-calls");
}

} // namespace almondgate::protocol
