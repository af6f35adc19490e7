#include "almondgate/http/server.hpp"
#include "almondgate/core/address.hpp"
#include "almondgate/core/invariant.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/timer.hpp"

extern "C" {
#include <h2o.h>
}

#include <cerrno>
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

/// Lives in a request's pool; h2o disposes of it with the request.
struct Marker {
  void *Owner;
  uint64_t Id;
};

constexpr core::DurationMs CallerCheck{250};

// h2o 2.2 does not read from an HTTP/1 connection while its request waits, so
// it does not see that the caller has closed it.
bool callerHasGone(h2o_req_t *raw) {
  constexpr int Http2Version = 0x200;
  if (raw->version >= Http2Version)
    return false;
  h2o_socket_t *socket = raw->conn->callbacks->get_socket(raw->conn);
  char byte = 0;
  const ssize_t n = ::recv(h2o_socket_get_fd(socket), &byte, sizeof(byte),
                           MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

std::string text(h2o_iovec_t v) { return {v.base, v.len}; }

} // namespace

struct Server::State {
  struct Open {
    h2o_req_t *Raw = nullptr;
    core::TimeMs Since;
    std::function<void()> Gone;
    bool Answered = false;
  };

  task::Loop &Loop;
  ServerOptions Options;
  Server::Handler Handler;
  h2o_globalconf_t Config{};
  h2o_context_t Context{};
  h2o_accept_ctx_t Accept{};
  std::unique_ptr<task::TcpListener> Listener;
  std::map<uint64_t, Open> Requests;
  uint64_t NextId = 0;
  // Outlives the server inside answer functions that are called late.
  std::shared_ptr<State *> Self = std::make_shared<State *>(this);

  task::Timer Checks{Loop};
  bool Checking = false;

  int onRequest(h2o_req_t *raw);
  void watchCallers();
  void checkCallers();
  void onDispose(uint64_t id);
  void respond(uint64_t id, const Response &response);
  void accept(uv_stream_t *listener);
};

int Server::State::onRequest(h2o_req_t *raw) {
  const uint64_t id = NextId++;
  Requests.emplace(id, Open{raw, core::monotonicNow(), {}, false});
  auto *marker = static_cast<Marker *>(
      h2o_mem_alloc_shared(&raw->pool, sizeof(Marker), [](void *p) {
        const auto *m = static_cast<Marker *>(p);
        static_cast<State *>(m->Owner)->onDispose(m->Id);
      }));
  *marker = {this, id};
  Exchange exchange;
  exchange.Request.Method = text(raw->method);
  exchange.Request.Target = text(raw->path);
  exchange.Request.Body = text(raw->entity);
  for (size_t i = 0; i < raw->headers.size; ++i) {
    const h2o_header_t &header = raw->headers.entries[i];
    exchange.Request.Headers.push_back(
        {text(*header.name), text(header.value)});
  }
  if (raw->authority.len > 0)
    exchange.Request.Headers.push_back({"host", text(raw->authority)});
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
      it->second.Gone = std::move(fn);
  };
  watchCallers();
  Handler(std::move(exchange));
  return 0;
}

void Server::State::watchCallers() {
  if (std::exchange(Checking, true))
    return;
  Checks.every(CallerCheck, [this] { checkCallers(); });
}

void Server::State::checkCallers() {
  const auto now = core::monotonicNow();
  std::vector<std::function<void()>> gone;
  for (auto &[id, open] : Requests) {
    if (!open.Gone || open.Answered || now - open.Since < CallerCheck)
      continue;
    if (callerHasGone(open.Raw))
      gone.push_back(std::exchange(open.Gone, nullptr));
  }
  for (const auto &tell : gone)
    tell();
  if (!Requests.empty())
    return;
  Checking = false;
  Checks.stop();
}

void Server::State::onDispose(uint64_t id) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  const auto gone = std::move(it->second.Gone);
  const bool answered = it->second.Answered;
  Requests.erase(it);
  if (gone && !answered)
    gone();
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
  h2o_accept(&Accept, socket);
}

Server::Server(task::Loop &loop, ServerOptions options, Handler handler)
    : S(new State{loop, options, std::move(handler)}) {
  h2o_config_init(&S->Config);
  // Room above the bound, so that our own answer tells the caller of it.
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

// Connections that are still open refer to the state: it is left to the end
// of the process.
Server::~Server() {
  S->Listener->close();
  S->Self.reset();
  S.release(); // NOLINT(bugprone-unused-return-value)
}

core::Status Server::listen(const core::Address &address) {
  return S->Listener->listen(address);
}

void Server::drain() { h2o_context_request_shutdown(&S->Context); }

void Server::stopAccepting() { S->Listener->close(); }

size_t Server::openRequests() const { return S->Requests.size(); }

} // namespace almondgate::http
