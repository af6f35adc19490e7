#include "almondgate/http/server.hpp"
#include "almondgate/core/address.hpp"
#include "almondgate/core/invariant.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/http/request_head.hpp"
#include "almondgate/observe/log.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/timer.hpp"

extern "C" {
#include <h2o.h>
}

#include <algorithm>
#include <cerrno>
#include <exception>
#include <map>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace almondgate::http {

namespace {

struct Handle {
  h2o_handler_t Base;
  void *Owner;
};

/// Allocated in a request's memory pool; h2o disposes of it with the request.
struct RequestTag {
  void *Owner;
  uint64_t Id;
};

/// Tells its server when a connection closes.
struct ConnectionTag {
  void *Owner;
  h2o_socket_t *Socket;
};

constexpr core::DurationMs DisconnectCheckInterval{250};
// How long a stopping server waits for the first request of a connection that
// it has accepted.
constexpr core::DurationMs FirstRequestGrace{1000};
constexpr int Http2Version = 0x200;

// h2o 2.2 does not read from an HTTP/1 connection while a request is pending,
// so it does not notice that the caller has closed it.
bool callerDisconnected(h2o_req_t *raw) {
  if (raw->version >= Http2Version)
    return false;
  h2o_socket_t *socket = raw->conn->callbacks->get_socket(raw->conn);
  char byte = 0;
  const ssize_t n = ::recv(h2o_socket_get_fd(socket), &byte, sizeof(byte),
                           MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

std::string text(h2o_iovec_t v) { return {v.base, v.len}; }

// h2o keeps only one of several Host or Content-Length headers. The input
// buffer of an HTTP/1 connection begins with the request until it is answered.
core::Status checkHead(h2o_req_t *raw) {
  if (raw->version >= Http2Version)
    return core::ok();
  const h2o_buffer_t *input =
      raw->conn->callbacks->get_socket(raw->conn)->input;
  return checkRequestHead({input->bytes, input->size});
}

} // namespace

struct Server::State {
  struct OpenRequest {
    h2o_req_t *Raw = nullptr;
    core::TimeMs ReceivedAt;
    std::function<void()> OnDisconnect;
    bool Answered = false;
  };

  task::Loop &Loop;
  ServerOptions Options;
  Server::Handler Handler;
  h2o_globalconf_t Config{};
  h2o_context_t Context{};
  h2o_accept_ctx_t Accept{};
  std::unique_ptr<task::TcpListener> Listener;
  std::map<uint64_t, OpenRequest> Requests;
  /// Connections that have not sent a whole request, and when they were
  /// accepted.
  std::map<h2o_socket_t *, core::TimeMs> NewConnections;
  uint64_t NextId = 0;
  // Shared with the Respond callbacks, which may be called after the server is
  // destroyed.
  std::shared_ptr<State *> Self = std::make_shared<State *>(this);

  task::Timer CheckTimer{Loop};
  bool Checking = false;

  int onRequest(h2o_req_t *raw);
  void refuse(h2o_req_t *raw, uint64_t id, const core::Error &error);
  void startDisconnectChecks();
  void checkDisconnects();
  void onDispose(uint64_t id);
  void respond(uint64_t id, const Response &response);
  void accept(uv_stream_t *listener);
  bool isIdle() const;
};

int Server::State::onRequest(h2o_req_t *raw) {
  const uint64_t id = NextId++;
  NewConnections.erase(raw->conn->callbacks->get_socket(raw->conn));
  Requests.emplace(id, OpenRequest{raw, core::monotonicNow(), {}, false});
  auto *tag = static_cast<RequestTag *>(
      h2o_mem_alloc_shared(&raw->pool, sizeof(RequestTag), [](void *p) {
        const auto *m = static_cast<RequestTag *>(p);
        static_cast<State *>(m->Owner)->onDispose(m->Id);
      }));
  *tag = {this, id};
  if (const auto valid = checkHead(raw); !valid) {
    refuse(raw, id, valid.error());
    return 0;
  }
  auto target = parseRequestTarget(text(raw->path));
  if (!target) {
    refuse(raw, id, target.error());
    return 0;
  }
  Exchange exchange;
  exchange.Request.Method = text(raw->method);
  exchange.Request.Target = std::move(target.value().Path);
  exchange.Request.Body = text(raw->entity);
  for (size_t i = 0; i < raw->headers.size; ++i) {
    const h2o_header_t &header = raw->headers.entries[i];
    exchange.Request.Headers.push_back(
        {text(*header.name), text(header.value)});
  }
  const std::string host =
      target.value().Host.empty() ? text(raw->authority) : target.value().Host;
  if (!host.empty())
    exchange.Request.Headers.push_back({"host", host});
  const std::weak_ptr<State *> weak = Self;
  exchange.Respond = [weak, id](const Response &response) {
    if (const auto self = weak.lock())
      (*self)->respond(id, response);
  };
  exchange.OnDisconnect = [weak, id](std::function<void()> fn) {
    const auto self = weak.lock();
    if (!self)
      return;
    const auto it = (*self)->Requests.find(id);
    if (it != (*self)->Requests.end())
      it->second.OnDisconnect = std::move(fn);
  };
  startDisconnectChecks();
  // No exception may pass through h2o's C code.
  try {
    Handler(std::move(exchange));
  } catch (const std::exception &e) {
    observe::logError("http", "request " + text(raw->method) + " " +
                                  text(raw->path) + " failed: " + e.what());
    respond(id, jsonResponse(500, R"({"error":"internal error"})"));
  }
  return 0;
}

// What follows on the connection can't be told apart from the request.
void Server::State::refuse(h2o_req_t *raw, uint64_t id,
                           const core::Error &error) {
  raw->http1_is_persistent = 0;
  respond(id, problemResponse(error));
}

void Server::State::startDisconnectChecks() {
  if (std::exchange(Checking, true))
    return;
  CheckTimer.every(DisconnectCheckInterval, [this] { checkDisconnects(); });
}

void Server::State::checkDisconnects() {
  const auto now = core::monotonicNow();
  std::vector<std::function<void()>> disconnected;
  for (auto &[id, open] : Requests) {
    if (!open.OnDisconnect || open.Answered ||
        now - open.ReceivedAt < DisconnectCheckInterval)
      continue;
    if (callerDisconnected(open.Raw))
      disconnected.push_back(std::exchange(open.OnDisconnect, nullptr));
  }
  for (const auto &notify : disconnected)
    notify();
  if (!Requests.empty())
    return;
  Checking = false;
  CheckTimer.stop();
}

void Server::State::onDispose(uint64_t id) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  const auto disconnected = std::move(it->second.OnDisconnect);
  const bool answered = it->second.Answered;
  Requests.erase(it);
  if (disconnected && !answered)
    disconnected();
}

void Server::State::respond(uint64_t id, const Response &response) {
  const auto it = Requests.find(id);
  if (it == Requests.end() || it->second.Answered)
    return;
  it->second.Answered = true;
  h2o_req_t *raw = it->second.Raw;
  raw->res.status = response.Status;
  raw->res.reason = "almondgate";
  raw->res.content_length = response.Body.size();
  const bool head = h2o_memis(raw->method.base, raw->method.len, "HEAD", 4);
  if (head || response.Status == 204 || response.Status == 304)
    raw->res.content_length = SIZE_MAX;
  for (const auto &header : response.Headers) {
    const auto name =
        h2o_strdup(&raw->pool, header.Name.data(), header.Name.size());
    h2o_strtolower(name.base, name.len);
    const auto value =
        h2o_strdup(&raw->pool, header.Value.data(), header.Value.size());
    h2o_add_header_by_str(&raw->pool, &raw->res.headers, name.base, name.len, 1,
                          nullptr, value.base, value.len);
  }
  h2o_send_inline(raw, response.Body.data(), response.Body.size());
}

void Server::State::accept(uv_stream_t *listener) {
  auto *conn = static_cast<uv_tcp_t *>(h2o_mem_alloc(sizeof(uv_tcp_t)));
  uv_tcp_init(listener->loop, conn);
  if (uv_accept(listener, reinterpret_cast<uv_stream_t *>(conn)) != 0) {
    uv_close(reinterpret_cast<uv_handle_t *>(conn),
             [](uv_handle_t *h) { std::free(h); });
    return;
  }
  uv_tcp_nodelay(conn, 1);
  h2o_socket_t *socket =
      h2o_uv_socket_create(reinterpret_cast<uv_stream_t *>(conn),
                           [](uv_handle_t *h) { std::free(h); });
  NewConnections.emplace(socket, core::monotonicNow());
  socket->on_close.data = new ConnectionTag{this, socket};
  socket->on_close.cb = [](void *p) {
    const std::unique_ptr<ConnectionTag> tag(static_cast<ConnectionTag *>(p));
    static_cast<State *>(tag->Owner)->NewConnections.erase(tag->Socket);
  };
  h2o_accept(&Accept, socket);
}

bool Server::State::isIdle() const {
  const auto now = core::monotonicNow();
  return Requests.empty() &&
         std::none_of(NewConnections.begin(), NewConnections.end(),
                      [now](const auto &row) {
                        return now - row.second < FirstRequestGrace;
                      });
}

Server::Server(task::Loop &loop, ServerOptions options, Handler handler)
    : S(new State{loop, options, std::move(handler)}) {
  h2o_config_init(&S->Config);
  // One byte above the limit, so that the handler refuses the body itself.
  S->Config.max_request_entity_size = options.MaxBodyBytes + 1;
  S->Config.server_name = h2o_iovec_init(H2O_STRLIT("almondgate"));
  h2o_hostconf_t *host = h2o_config_register_host(
      &S->Config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
  auto *handle =
      reinterpret_cast<Handle *>(h2o_create_handler(path, sizeof(Handle)));
  handle->Owner = S.get();
  handle->Base.on_req = [](h2o_handler_t *self, h2o_req_t *raw) {
    auto *owner = reinterpret_cast<Handle *>(self)->Owner;
    return static_cast<State *>(owner)->onRequest(raw);
  };
  h2o_context_init(&S->Context, loop.raw(), &S->Config);
  S->Accept.ctx = &S->Context;
  S->Accept.hosts = S->Config.hosts;
  S->Listener = std::make_unique<task::TcpListener>(
      loop, [state = S.get()](uv_stream_t *l) { state->accept(l); });
}

// Open connections still refer to the state, so it is deliberately leaked until
// the process ends.
Server::~Server() {
  S->Listener->close();
  S->Self.reset();
  S.release(); // NOLINT(bugprone-unused-return-value)
}

core::Status Server::listen(const core::Address &address) {
  return S->Listener->listen(address);
}

bool Server::isListening() const { return S->Listener->isListening(); }

void Server::drain() { h2o_context_request_shutdown(&S->Context); }

void Server::stopAccepting() { S->Listener->closeOnceDrained(); }

bool Server::isIdle() const { return S->isIdle(); }

size_t Server::openRequests() const { return S->Requests.size(); }

} // namespace almondgate::http
