#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/timer.hpp"

#include "http2_session.hpp"
#include "wire.hpp"

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
constexpr DurationMs FirstBackoff{20};
constexpr DurationMs LongestBackoff{1000};
constexpr DurationMs SweepInterval{50};

struct PendingCall {
  RpcClient::OnReply Done;
  TimeMs Started;
  TimeMs Deadline;
};

struct QueuedCall {
  Method What;
  std::string Body;
  PendingCall Call;
};

/// The connection to one process.
class Peer {
public:
  Peer(task::Loop &loop, core::Address address, const RpcOptions &options)
      : Loop(loop), To(std::move(address)), Options(options), Sweep(loop),
        Jitter(std::random_device{}()) {}

  void call(Method method, std::string body, DurationMs timeout,
            RpcClient::OnReply done);

private:
  void connect();
  void onConnected(const core::Status &status);
  void send(QueuedCall call);
  void onMessage(int32_t id, IncomingStream &message);
  void onStreamClosed(int32_t id);
  void disconnect(const Error &error);
  void sweep();
  void armSweep();
  void growBackoff();

  task::Loop &Loop;
  const core::Address To;
  const RpcOptions &Options;
  std::shared_ptr<task::TcpStream> Socket;
  std::shared_ptr<Http2Session> Session;
  bool Connected = false;
  bool Receiving = false;
  TimeMs ConnectStarted;
  TimeMs LastHeard;
  TimeMs RetryAt;
  DurationMs Backoff = FirstBackoff;
  std::vector<QueuedCall> Queue;
  std::map<int32_t, PendingCall> Pending;
  task::Timer Sweep;
  bool Sweeping = false;
  std::minstd_rand Jitter;
};

void Peer::call(Method method, std::string body, DurationMs timeout,
                RpcClient::OnReply done) {
  const TimeMs now = core::monotonicNow();
  if (!Socket && now < RetryAt) {
    // Answered on a later turn: the caller does not expect it within call().
    Loop.defer([done = std::move(done), to = core::toString(To)] {
      done(Error{ErrorCode::Unavailable, "no connection to " + to});
    });
    return;
  }
  QueuedCall queued{
      method, std::move(body), {std::move(done), now, now + timeout}};
  armSweep();
  if (Connected) {
    send(std::move(queued));
    // nghttp2 must not be asked to send from inside its own callbacks.
    if (!Receiving)
      Session->flush();
    return;
  }
  Queue.push_back(std::move(queued));
  if (!Socket)
    connect();
}

void Peer::connect() {
  ConnectStarted = core::monotonicNow();
  task::TcpStreamHooks hooks;
  hooks.OnData = [this](std::string_view data) {
    LastHeard = core::monotonicNow();
    const auto session = Session;
    Receiving = true;
    const bool good = session->receive(data);
    Receiving = false;
    if (session != Session)
      return;
    session->flush();
    if (!good)
      disconnect({ErrorCode::Unavailable, "broken session"});
  };
  hooks.OnClose = [this](const Error &error) { disconnect(error); };
  Socket = std::make_shared<task::TcpStream>(Loop, std::move(hooks));
  Socket->connect(To,
                  [this](const core::Status &status) { onConnected(status); });
}

void Peer::onConnected(const core::Status &status) {
  if (!status) {
    growBackoff();
    disconnect(status.error());
    return;
  }
  Connected = true;
  Backoff = FirstBackoff;
  LastHeard = core::monotonicNow();
  Http2SessionHooks hooks;
  hooks.Send = [this](std::string data) { Socket->write(std::move(data)); };
  hooks.OnMessage = [this](int32_t id, IncomingStream &message) {
    onMessage(id, message);
  };
  hooks.OnStreamClosed = [this](int32_t id) { onStreamClosed(id); };
  Session = std::make_shared<Http2Session>(false, Options.MaxBodyBytes,
                                           std::move(hooks));
  for (auto &queued : std::exchange(Queue, {}))
    send(std::move(queued));
  Session->flush();
}

void Peer::send(QueuedCall call) {
  const std::string path = std::string(PathPrefix) + methodName(call.What);
  const int32_t id = Session->request({{":method", "POST"},
                                       {":scheme", "http"},
                                       {":authority", "almondgate"},
                                       {":path", path},
                                       {SecretHeader, Options.Secret}},
                                      std::move(call.Body));
  if (id < 0) {
    call.Call.Done(Error{ErrorCode::Unavailable, "no stream left"});
    return;
  }
  Pending.emplace(id, std::move(call.Call));
}

void Peer::onMessage(int32_t id, IncomingStream &message) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  const auto done = std::move(it->second.Done);
  Pending.erase(it);
  if (message.header(":status") == "200") {
    done(std::move(message.Body));
    return;
  }
  done(encoding::decodeError(message.Body));
}

void Peer::onStreamClosed(int32_t id) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  const auto done = std::move(it->second.Done);
  Pending.erase(it);
  done(Error{ErrorCode::Unavailable, "the call was reset"});
}

void Peer::growBackoff() {
  const int64_t spread = Backoff.Count;
  RetryAt = core::monotonicNow() +
            DurationMs{spread / 2 + int64_t(Jitter()) % (spread + 1)};
  Backoff = std::min(Backoff * 2, LongestBackoff);
}

void Peer::disconnect(const Error &error) {
  Connected = false;
  // Freed later: this may run inside a callback of either.
  Loop.defer([socket = std::move(Socket), session = std::move(Session)] {});
  Socket = nullptr;
  Session = nullptr;
  const auto queue = std::exchange(Queue, {});
  const auto pending = std::exchange(Pending, {});
  const Error told{ErrorCode::Unavailable,
                   core::toString(To) + ": " + error.Text};
  for (const auto &call : queue)
    call.Call.Done(told);
  for (const auto &[id, call] : pending)
    call.Done(told);
}

void Peer::armSweep() {
  if (Sweeping)
    return;
  Sweeping = true;
  Sweep.every(SweepInterval, [this] { sweep(); });
}

void Peer::sweep() {
  const TimeMs now = core::monotonicNow();
  if (!Connected && Socket && now - ConnectStarted > ConnectTimeout) {
    growBackoff();
    disconnect({ErrorCode::Unavailable, "connect timed out"});
    return;
  }
  std::vector<PendingCall> late;
  for (auto it = Pending.begin(); it != Pending.end();) {
    if (it->second.Deadline > now) {
      ++it;
      continue;
    }
    Session->reset(it->first);
    late.push_back(std::move(it->second));
    it = Pending.erase(it);
  }
  bool silent = false;
  for (const auto &call : late)
    silent = silent || LastHeard < call.Started;
  for (const auto &call : late)
    call.Done(Error{ErrorCode::DeadlineExceeded,
                    core::toString(To) + ": no answer in time"});
  if (silent && Connected) {
    disconnect({ErrorCode::Unavailable, "the peer is silent"});
    return;
  }
  if (!late.empty() && Session)
    Session->flush();
  if (Pending.empty() && Queue.empty()) {
    Sweeping = false;
    Sweep.stop();
  }
}

} // namespace

struct RpcClient::State {
  task::Loop &Loop;
  const RpcOptions Options;
  std::map<core::Address, std::unique_ptr<Peer>> Peers;
};

RpcClient::RpcClient(task::Loop &loop, RpcOptions options)
    : S(new State{loop, std::move(options), {}}) {}

RpcClient::~RpcClient() = default;

void RpcClient::call(const core::Address &to, Method method, std::string body,
                     core::DurationMs timeout, OnReply done) {
  auto &peer = S->Peers[to];
  if (!peer)
    peer = std::make_unique<Peer>(S->Loop, to, S->Options);
  peer->call(method, std::move(body), timeout, std::move(done));
}

} // namespace almondgate::protocol
