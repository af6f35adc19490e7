#include "almondgate/http/endpoint_client.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/timer.hpp"

#include "response_parser.hpp"

#include <map>
#include <optional>
#include <vector>

namespace almondgate::http {

using core::Address;
using core::Error;
using core::ErrorCode;
using core::RunOutcome;

namespace {

std::string serialize(const EndpointCall &call) {
  const Request &request = call.Request;
  std::string out = request.Method + " " + request.Target + " HTTP/1.1\r\n";
  bool host = false;
  for (const auto &header : request.Headers) {
    host = host || header.Name == "host";
    out += header.Name + ": " + header.Value + "\r\n";
  }
  if (!host)
    out += "host: " + core::toString(call.To) + "\r\n";
  if (!request.Body.empty() || !isIdempotentMethod(request.Method))
    out += "content-length: " + std::to_string(request.Body.size()) + "\r\n";
  return out + "\r\n" + request.Body;
}

/// A connection that carries one call at a time.
struct Connection {
  Address To;
  std::unique_ptr<task::TcpStream> Socket;
  std::unique_ptr<ResponseParser> Parser;
  EndpointClient::OnResponse Done;
  EndpointClient::MaySend MaySend;
  std::unique_ptr<task::Timer> Timeout;
  bool Sent = false;
  /// 0 while the connection is idle.
  uint64_t CallId = 0;
  task::DescriptorLease Lease;
  /// Its place in the order in which connections became idle; 0 if it was
  /// never idle.
  uint64_t IdleNumber = 0;
  core::TimeMs IdleSince;
};

/// A call that waits for a connection.
struct WaitingCall {
  EndpointCall Call;
  EndpointClient::OnResponse Done;
  EndpointClient::MaySend MaySend;
  std::unique_ptr<task::Timer> Timeout;
};

} // namespace

struct EndpointClient::State {
  task::Loop &Loop;
  const EndpointClientOptions Options;
  /// Null if connections are not limited.
  const std::shared_ptr<task::DescriptorBudget> Descriptors;
  std::optional<uint64_t> DescriptorUser;
  std::map<uint64_t, std::unique_ptr<Connection>> Busy;
  std::map<Address, std::vector<std::unique_ptr<Connection>>> Idle;
  /// The connections in Idle, longest idle first.
  std::map<uint64_t, Connection *> IdleOrder;
  uint64_t NextIdleNumber = 1;
  /// By id, which is the order of arrival.
  std::map<uint64_t, WaitingCall> Waiting;
  uint64_t NextId = 1;

  void useDescriptors();
  std::unique_ptr<Connection> openWithinBudget(const Address &to);
  void start(uint64_t id, EndpointCall call, OnResponse done, MaySend may_send);
  void startOn(std::unique_ptr<Connection> connection, uint64_t id,
               EndpointCall call, OnResponse done, MaySend may_send);
  void wait(uint64_t id, EndpointCall call, OnResponse done, MaySend may_send);
  void failWaiting(uint64_t id);
  void startWaiting();
  std::unique_ptr<Connection> removeIdle(const Connection *connection);
  std::unique_ptr<Connection> takeIdle(const Address &to);
  void open(uint64_t id, EndpointCall call);
  void write(uint64_t id, const EndpointCall &call);
  void onData(uint64_t id, std::string_view data);
  void finish(uint64_t id);
  void withdraw(uint64_t id);
  void keep(std::unique_ptr<Connection> connection);
  void dropIdle(const Connection *connection);
  void fail(uint64_t id, const Error &error);
  void discard(std::unique_ptr<Connection> connection);
  void reset(std::unique_ptr<Connection> connection);
};

// Frees a connection in a later loop iteration, because its own callback may
// have requested the discard.
void EndpointClient::State::discard(std::unique_ptr<Connection> connection) {
  const std::shared_ptr<Connection> held = std::move(connection);
  Loop.defer([held] {});
}

// The connection of a failed call is reset, so that a partition that ends later
// doesn't deliver the call after it has been given up. What the peer's kernel
// has received before is still read there.
void EndpointClient::State::reset(std::unique_ptr<Connection> connection) {
  if (connection->Socket)
    connection->Socket->reset();
  discard(std::move(connection));
}

std::unique_ptr<Connection> EndpointClient::State::takeIdle(const Address &to) {
  const auto it = Idle.find(to);
  if (it == Idle.end())
    return nullptr;
  return removeIdle(it->second.back().get());
}

std::unique_ptr<Connection>
EndpointClient::State::removeIdle(const Connection *connection) {
  IdleOrder.erase(connection->IdleNumber);
  const auto it = Idle.find(connection->To);
  if (it == Idle.end())
    return nullptr;
  std::unique_ptr<Connection> out;
  auto &held = it->second;
  for (auto at = held.begin(); at != held.end(); ++at) {
    if (at->get() != connection)
      continue;
    out = std::move(*at);
    held.erase(at);
    break;
  }
  if (held.empty())
    Idle.erase(it);
  return out;
}

void EndpointClient::State::useDescriptors() {
  if (!Descriptors)
    return;
  const auto longest_idle = [this]() -> std::optional<core::TimeMs> {
    if (IdleOrder.empty())
      return std::nullopt;
    return IdleOrder.begin()->second->IdleSince;
  };
  DescriptorUser = Descriptors->addUser(
      task::DescriptorKind::Outbound,
      {longest_idle, [this] { removeIdle(IdleOrder.begin()->second); },
       [this] { startWaiting(); }});
}

// Returns null if the budget has no descriptor left.
std::unique_ptr<Connection>
EndpointClient::State::openWithinBudget(const Address &to) {
  auto connection = std::make_unique<Connection>();
  if (Descriptors) {
    auto lease = Descriptors->take(task::DescriptorKind::Outbound);
    if (!lease)
      return nullptr;
    connection->Lease = std::move(*lease);
  }
  connection->To = to;
  connection->Timeout = std::make_unique<task::Timer>(Loop);
  return connection;
}

void EndpointClient::State::start(uint64_t id, EndpointCall call,
                                  OnResponse done, MaySend may_send) {
  auto connection = call.FreshConnection ? nullptr : takeIdle(call.To);
  if (!connection && Waiting.empty())
    connection = openWithinBudget(call.To);
  if (connection)
    startOn(std::move(connection), id, std::move(call), std::move(done),
            std::move(may_send));
  else
    wait(id, std::move(call), std::move(done), std::move(may_send));
}

void EndpointClient::State::wait(uint64_t id, EndpointCall call,
                                 OnResponse done, MaySend may_send) {
  auto timeout = std::make_unique<task::Timer>(Loop);
  timeout->once(call.Timeout, [this, id] { failWaiting(id); });
  Waiting.emplace(id, WaitingCall{std::move(call), std::move(done),
                                  std::move(may_send), std::move(timeout)});
}

void EndpointClient::State::failWaiting(uint64_t id) {
  const auto it = Waiting.find(id);
  const auto done = std::move(it->second.Done);
  const Error error{ErrorCode::DeadlineExceeded,
                    "not sent to " + core::toString(it->second.Call.To) +
                        ": no connection became free in time",
                    RunOutcome::NotRun};
  Waiting.erase(it);
  done(error);
}

void EndpointClient::State::startWaiting() {
  while (!Waiting.empty()) {
    const auto it = Waiting.begin();
    const auto &call = it->second.Call;
    auto connection = call.FreshConnection ? nullptr : takeIdle(call.To);
    if (!connection)
      connection = openWithinBudget(call.To);
    if (!connection)
      return;
    const uint64_t id = it->first;
    WaitingCall next = std::move(it->second);
    Waiting.erase(it);
    startOn(std::move(connection), id, std::move(next.Call),
            std::move(next.Done), std::move(next.MaySend));
  }
}

void EndpointClient::State::startOn(std::unique_ptr<Connection> connection,
                                    uint64_t id, EndpointCall call,
                                    OnResponse done, MaySend may_send) {
  const bool reused = connection->Socket != nullptr;
  connection->Done = std::move(done);
  connection->MaySend = std::move(may_send);
  connection->Sent = false;
  connection->Parser = std::make_unique<ResponseParser>(
      call.Request.Method == "HEAD", Options.MaxResponseBytes);
  connection->CallId = id;
  Busy.emplace(id, std::move(connection));
  if (reused)
    write(id, call);
  else
    open(id, std::move(call));
}

void EndpointClient::State::open(uint64_t id, EndpointCall call) {
  Connection *connection = Busy.at(id).get();
  task::TcpStreamHooks hooks;
  hooks.OnData = [this, connection](std::string_view data) {
    if (connection->CallId)
      onData(connection->CallId, data);
    else
      dropIdle(connection);
  };
  hooks.OnClose = [this, connection](const Error &error) {
    if (connection->CallId)
      fail(connection->CallId, error);
    else
      dropIdle(connection);
  };
  connection->Socket =
      std::make_unique<task::TcpStream>(Loop, std::move(hooks));
  connection->Timeout->once(Options.ConnectTimeout, [this, id, to = call.To] {
    fail(id, {ErrorCode::EndpointFailed,
              "connecting to " + core::toString(to) + " timed out"});
  });
  const Address to = call.To;
  connection->Socket->connect(
      to, [this, id, call = std::move(call)](const core::Status &status) {
        if (status)
          write(id, call);
        else
          fail(id, status.error());
      });
}

void EndpointClient::State::write(uint64_t id, const EndpointCall &call) {
  Connection &connection = *Busy.at(id);
  if (connection.MaySend && !connection.MaySend()) {
    withdraw(id);
    return;
  }
  connection.Sent = true;
  connection.Socket->write(serialize(call));
  connection.Timeout->once(call.Timeout, [this, id] {
    fail(id,
         {ErrorCode::DeadlineExceeded, "the endpoint did not respond in time"});
  });
}

void EndpointClient::State::onData(uint64_t id, std::string_view data) {
  Connection &connection = *Busy.at(id);
  const auto status = connection.Parser->receive(data);
  if (!status)
    fail(id, status.error());
  else if (connection.Parser->complete())
    finish(id);
}

void EndpointClient::State::finish(uint64_t id) {
  auto connection = std::move(Busy.at(id));
  Busy.erase(id);
  connection->Timeout->stop();
  const auto done = std::move(connection->Done);
  connection->CallId = 0;
  Response answer = connection->Parser->take();
  if (connection->Parser->reusable())
    keep(std::move(connection));
  else
    discard(std::move(connection));
  done(std::move(answer));
}

// Nothing was sent, so the connection can carry another call.
void EndpointClient::State::withdraw(uint64_t id) {
  auto connection = std::move(Busy.at(id));
  Busy.erase(id);
  connection->Timeout->stop();
  const auto done = std::move(connection->Done);
  connection->CallId = 0;
  keep(std::move(connection));
  done(
      Error{ErrorCode::Cancelled, "not sent: the caller no longer permits it"});
}

void EndpointClient::State::keep(std::unique_ptr<Connection> connection) {
  auto &idle = Idle[connection->To];
  if (idle.size() >= Options.MaxIdle) {
    discard(std::move(connection));
    return;
  }
  Connection *raw = connection.get();
  raw->Timeout->once(Options.IdleTimeout, [this, raw] { dropIdle(raw); });
  raw->IdleSince = core::monotonicNow();
  raw->IdleNumber = NextIdleNumber++;
  IdleOrder.emplace(raw->IdleNumber, raw);
  idle.push_back(std::move(connection));
  if (Descriptors)
    Descriptors->onIdle();
}

void EndpointClient::State::dropIdle(const Connection *connection) {
  if (auto held = removeIdle(connection))
    discard(std::move(held));
}

void EndpointClient::State::fail(uint64_t id, const Error &error) {
  const auto it = Busy.find(id);
  if (it == Busy.end())
    return;
  auto connection = std::move(it->second);
  Busy.erase(it);
  connection->Timeout->stop();
  Error reported = error;
  reported.Outcome =
      connection->Sent ? RunOutcome::Unknown : RunOutcome::NotRun;
  if (reported.Code == ErrorCode::Io)
    reported.Code = ErrorCode::EndpointFailed;
  const auto done = std::move(connection->Done);
  reset(std::move(connection));
  done(reported);
}

EndpointClient::EndpointClient(
    task::Loop &loop, EndpointClientOptions options,
    std::shared_ptr<task::DescriptorBudget> descriptors)
    : S(new State{loop, options, std::move(descriptors)}) {
  S->useDescriptors();
}

EndpointClient::~EndpointClient() {
  if (S->DescriptorUser)
    S->Descriptors->removeUser(*S->DescriptorUser);
}

uint64_t EndpointClient::send(EndpointCall call, OnResponse done,
                              MaySend may_send) {
  const uint64_t id = S->NextId++;
  S->start(id, std::move(call), std::move(done), std::move(may_send));
  return id;
}

void EndpointClient::closeIdle(const core::Address &to) {
  const auto it = S->Idle.find(to);
  if (it == S->Idle.end())
    return;
  auto held = std::move(it->second);
  S->Idle.erase(it);
  for (auto &connection : held) {
    S->IdleOrder.erase(connection->IdleNumber);
    S->discard(std::move(connection));
  }
}

void EndpointClient::abort(uint64_t call) {
  S->Waiting.erase(call);
  const auto it = S->Busy.find(call);
  if (it == S->Busy.end())
    return;
  it->second->Timeout->stop();
  S->reset(std::move(it->second));
  S->Busy.erase(it);
}

} // namespace almondgate::http
