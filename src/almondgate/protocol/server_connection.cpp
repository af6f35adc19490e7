#include "server_connection.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/task/loop.hpp"

#include "body_class.hpp"
#include "send_room.hpp"
#include "wire.hpp"

#include <cstring>
#include <exception>

namespace almondgate::protocol {

using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::RunOutcome;

namespace {

constexpr DurationMs AuthenticationTimeout{3000};
// Time to send the error before a connection with a wrong secret is closed.
constexpr DurationMs RejectionDelay{100};
// The preface, the settings and the header fields of a first call.
constexpr size_t MaxUnauthenticatedBytes = size_t{16} * 1024;
constexpr DurationMs MaxUnreadTime{10000};
// Replies up to this size are covered by the overhead of their call.
constexpr size_t SmallReplyBytes = 4096;

} // namespace

ServerConnection::ServerConnection(task::Loop &loop, const RpcOptions &options,
                                   const RpcServerHooks &hooks,
                                   std::shared_ptr<PeerBudget> budget)
    : Options(options), Hooks(hooks), Loop(loop),
      Share(std::make_shared<PeerShare>(std::move(budget))),
      AcceptedAt(core::monotonicNow()), ProgressAt(AcceptedAt) {}

core::Status ServerConnection::start(uv_stream_s *listener,
                                     std::function<void()> on_close,
                                     std::function<void()> on_authenticated) {
  OnClose = std::move(on_close);
  OnAuthenticated = std::move(on_authenticated);
  task::TcpStreamHooks hooks;
  hooks.OnData = [this](std::string_view data) { onData(data); };
  hooks.OnClose = [this](const Error &) { OnClose(); };
  hooks.OnWritten = [this] {
    if (Session)
      Session->flush();
  };
  Socket = std::make_unique<task::TcpStream>(Loop, std::move(hooks));
  return Socket->accept(listener);
}

// Created with the first bytes, so that a connection that sends none costs
// little.
void ServerConnection::openSession() {
  Http2SessionHooks hooks;
  hooks.Send = [this](std::string data) { Socket->write(std::move(data)); };
  hooks.SendRoom = [this] { return sendRoom(*Socket); };
  hooks.OnHeaders = [this](int32_t id, IncomingStream &message) {
    return onHeaders(id, message);
  };
  hooks.OnRefused = [this](int32_t id) {
    respondError(id, {ErrorCode::Overloaded,
                      "the call's body exceeds what may be held for peers",
                      RunOutcome::NotRun});
  };
  hooks.OnMessage = [this](int32_t id, IncomingStream &message) {
    onMessage(id, message);
  };
  hooks.OnStreamClosed = [this](int32_t id) { OpenCalls.erase(id); };
  Session = std::make_unique<Http2Session>(true, Options.MaxBodyBytes,
                                           std::move(hooks));
}

void ServerConnection::onData(std::string_view data) {
  if (Rejected)
    return;
  ReceivedBytes += data.size();
  if (!Session)
    openSession();
  // A peer's first read may hold more than its first call.
  const size_t rest =
      MaxUnauthenticatedBytes -
      std::min(MaxUnauthenticatedBytes, ReceivedBytes - data.size());
  const size_t first =
      Authenticated ? data.size() : std::min(rest, data.size());
  Receiving = true;
  bool valid = Session->receive(data.substr(0, first));
  if (valid && Authenticated && first < data.size())
    valid = Session->receive(data.substr(first));
  Receiving = false;
  if (valid)
    Session->flush();
  const bool too_much =
      !Authenticated && ReceivedBytes > MaxUnauthenticatedBytes;
  if (!valid || (too_much && !Rejected))
    OnClose();
}

bool ServerConnection::authenticate(int32_t id, const IncomingStream &message) {
  if (Authenticated)
    return true;
  if (Rejected)
    return false;
  if (core::equalConstantTime(message.header(SecretHeader), Options.Secret)) {
    Authenticated = true;
    Session->widenWindows();
    OnAuthenticated();
    return true;
  }
  Rejected = true;
  const Error error{ErrorCode::Unauthenticated, "wrong cluster secret"};
  Hooks.OnRejected(error.Text);
  respondError(id, error);
  const std::weak_ptr<ServerConnection> weak = weak_from_this();
  Loop.defer(
      [weak] {
        if (const auto self = weak.lock())
          self->OnClose();
      },
      RejectionDelay);
  return false;
}

core::Result<Method>
ServerConnection::parseCall(const IncomingStream &message) const {
  const std::string_view path = message.header(":path");
  if (path.substr(0, std::strlen(PathPrefix)) != PathPrefix)
    return Error{ErrorCode::NotFound, "unsupported protocol version in path '" +
                                          std::string(path) + "'"};
  return parseMethod(std::string(path.substr(std::strlen(PathPrefix))));
}

bool ServerConnection::onHeaders(int32_t id, IncomingStream &message) {
  if (!authenticate(id, message))
    return false;
  const auto method = parseCall(message);
  if (!method) {
    Hooks.OnRejected(method.error().Text);
    respondError(id, method.error());
    return false;
  }
  const size_t length = message.contentLength();
  if (length > Options.MaxBodyBytes) {
    respondError(
        id, {ErrorCode::TooLarge, "the body has " + std::to_string(length) +
                                      " bytes; at most " +
                                      std::to_string(Options.MaxBodyBytes)});
    return false;
  }
  HeldBytes overhead(Share, classOf(method.value(), length));
  message.Held = HeldBytes(Share, classOf(method.value(), length));
  if (!overhead.growTo(CallOverheadBytes) || !message.Held.growTo(length)) {
    respondError(id, {ErrorCode::Overloaded,
                      "too many bytes are held for calls of peers",
                      RunOutcome::NotRun});
    return false;
  }
  OpenCalls.insert_or_assign(id, OpenCall{method.value(), std::move(overhead)});
  return true;
}

void ServerConnection::onMessage(int32_t id, IncomingStream &message) {
  const auto it = OpenCalls.find(id);
  if (it == OpenCalls.end())
    return;
  const Method method = it->second.CallMethod;
  const std::weak_ptr<ServerConnection> weak = weak_from_this();
  const auto respond = [weak, id](core::Result<std::string> reply) {
    if (const auto self = weak.lock())
      self->respond(id, std::move(reply));
  };
  // The handler decodes the body before it answers.
  message.Held = {};
  try {
    Hooks.OnCall(method, std::move(message.Body), respond);
  } catch (const std::exception &e) {
    Hooks.OnRejected(std::string("call of '") + methodName(method) +
                     "' failed: " + e.what());
    this->respond(id, Error{ErrorCode::Corrupt, "the call failed in its server",
                            RunOutcome::Unknown});
  }
}

// Returns the reservation of a reply. One that does not fit becomes an error;
// its call has been carried out.
HeldBytes ServerConnection::holdReply(Method method,
                                      core::Result<std::string> &reply) {
  const size_t n = reply ? reply.value().size() : 0;
  HeldBytes held(Share, classOf(method, n));
  if (n <= SmallReplyBytes)
    held.add(n);
  else if (!held.growTo(n))
    reply = Error{ErrorCode::Overloaded,
                  "too many bytes are held for replies to peers",
                  RunOutcome::Unknown};
  return held;
}

void ServerConnection::respond(int32_t id, core::Result<std::string> reply) {
  const auto it = OpenCalls.find(id);
  if (it == OpenCalls.end())
    return;
  const Method method = it->second.CallMethod;
  OpenCalls.erase(it);
  HeldBytes held = holdReply(method, reply);
  if (!reply) {
    respondError(id, reply.error());
  } else {
    const std::string length = std::to_string(reply.value().size());
    Session->respond(id, {{":status", "200"}, {"content-length", length}},
                     std::move(reply.value()), std::move(held));
  }
  if (!Receiving)
    Session->flush();
}

void ServerConnection::respondError(int32_t id, const Error &error) {
  Session->respond(id, {{":status", "500"}}, encoding::encodeError(error), {});
}

bool ServerConnection::isOverdue(core::TimeMs now) {
  if (!Authenticated)
    return now - AcceptedAt > AuthenticationTimeout;
  const bool unsent = Session->hasUnsent() || Socket->pendingBytes() > 0;
  if (!unsent || Session->sentBytes() != SentBytes) {
    SentBytes = Session->sentBytes();
    ProgressAt = now;
  }
  return now - ProgressAt > MaxUnreadTime;
}

} // namespace almondgate::protocol
