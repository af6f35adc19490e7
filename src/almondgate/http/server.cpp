#include "almondgate/http/server.hpp"
#include "almondgate/core/address.hpp"
#include "almondgate/core/invariant.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/http/connection_table.hpp"
#include "almondgate/http/request_head.hpp"
#include "almondgate/observe/log.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/timer.hpp"

#include "http2_usage.hpp"

extern "C" {
#include <h2o.h>
}

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <exception>
#include <map>
#include <optional>
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

/// Found by the callbacks of a connection's socket.
struct ConnectionTag {
  void *Owner;
  uint64_t Id;
  h2o_socket_t *Socket;
  uv_stream_t *Stream;
  /// Counted capacity of the input buffer.
  size_t InputBytes = 0;
  task::DescriptorLease Lease = {};
  /// For connections that may use HTTP/2.
  std::optional<Http2Usage> Http2 = std::nullopt;
  /// Counted bytes of HTTP/2 streams.
  size_t Http2Bytes = 0;
};

constexpr core::DurationMs DisconnectCheckInterval{250};
// How long a stopping server waits for the first request of a connection that
// it has accepted.
constexpr core::DurationMs FirstRequestGrace{1000};
constexpr int Http2Version = 0x200;
constexpr size_t MaxBodyPart = 4;
// HTTP/2 streams of a connection that are handled at once; others wait.
constexpr size_t MaxHttp2Streams = 8;
// Bounds what the kernel holds for a connection.
constexpr int SocketBufferBytes = 64 * 1024;
// What h2o asks of the input buffer for each read.
constexpr size_t ReadBytes = 4096;

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

// The bytes by which the next read lets the input buffer grow, which doubles
// its capacity. Its first capacity is a part of ConnectionTable::BaseBytes.
size_t nextGrowth(const h2o_buffer_t *input) {
  if (!input->bytes)
    return 0;
  const size_t offset = size_t(input->bytes - input->_buf);
  if (input->capacity - input->size - offset >= ReadBytes ||
      (input->size + ReadBytes) * 2 <= input->capacity)
    return 0;
  size_t capacity = input->capacity;
  do
    capacity *= 2;
  while (capacity - input->size < ReadBytes);
  return capacity - input->capacity;
}

uint32_t streamOf(h2o_req_t *raw) {
  if (raw->version < Http2Version)
    return 0;
  const auto id = raw->conn->callbacks->log_.http2.stream_id(raw);
  uint32_t n = 0;
  std::from_chars(id.base, id.base + id.len, n);
  return n;
}

size_t encodedBytes(const Response &response) {
  size_t n = response.Body.size();
  for (const auto &header : response.Headers)
    n += header.Name.size() + header.Value.size();
  return n;
}

ConnectionTag &tagOf(h2o_socket_t *socket) {
  return *static_cast<ConnectionTag *>(socket->on_close.data);
}

ConnectionTag &tagOf(uv_handle_t *handle) {
  return tagOf(static_cast<h2o_socket_t *>(handle->data));
}

void limitSocketBuffers(uv_stream_t *stream) {
  auto *handle = reinterpret_cast<uv_handle_t *>(stream);
  int in = SocketBufferBytes;
  int out = SocketBufferBytes;
  uv_recv_buffer_size(handle, &in);
  uv_send_buffer_size(handle, &out);
}

// Encodes a refusal for a connection whose request h2o has not read.
std::string encodeRefusal(const core::Error &error) {
  const auto response = problemResponse(error);
  std::string out = "HTTP/1.1 " + std::to_string(response.Status) +
                    " almondgate\r\nconnection: close\r\ncontent-length: " +
                    std::to_string(response.Body.size()) + "\r\n";
  for (const auto &header : response.Headers)
    out += header.Name + ": " + header.Value + "\r\n";
  return out + "\r\n" + response.Body;
}

const core::Error &noMemory() {
  static const core::Error error{core::ErrorCode::Unavailable,
                                 "the server has no memory left for requests"};
  return error;
}

// Best effort: the caller may not get an answer to a request that it is still
// sending.
void sendRefusal(int fd) {
  static const std::string refusal = encodeRefusal(noMemory());
  (void)::send(fd, refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace

struct Server::State {
  struct OpenRequest {
    h2o_req_t *Raw = nullptr;
    uint64_t Connection = 0;
    core::TimeMs ReceivedAt;
    std::function<void()> OnDisconnect;
    bool Answered = false;
    /// Bytes that its connection has reserved for it.
    size_t CopiedBytes = 0;
    size_t AnswerBytes = 0;
    /// Its HTTP/2 stream.
    uint32_t Stream = 0;
  };

  State(task::Loop &loop, ServerOptions options, Server::Handler handler);

  task::Loop &Loop;
  ServerOptions Options;
  Server::Handler Handler;
  h2o_globalconf_t Config{};
  h2o_context_t Context{};
  h2o_accept_ctx_t Accept{};
  std::unique_ptr<task::TcpListener> Listener;
  /// The lease of the connection that is accepted next.
  task::DescriptorLease NextLease;
  std::optional<uint64_t> DescriptorUser;
  std::map<uint64_t, OpenRequest> Requests;
  /// Connections that have not sent a whole request, and when they were
  /// accepted.
  std::map<h2o_socket_t *, core::TimeMs> NewConnections;
  std::map<uint64_t, std::unique_ptr<ConnectionTag>> Tags;
  ConnectionTable Table;
  /// Connections whose reads may have been started again by h2o.
  std::vector<uint64_t> Unwatched;
  uv_prepare_t *BeforePoll = nullptr;
  uv_alloc_cb AllocInput = nullptr;
  uv_read_cb ReadInput = nullptr;
  bool BuffersAreLimited = false;
  uint64_t NextId = 0;
  // Shared with the Respond callbacks, which may be called after the server is
  // destroyed.
  std::shared_ptr<State *> Self = std::make_shared<State *>(this);

  task::Timer CheckTimer{Loop};
  bool Checking = false;

  int onRequest(h2o_req_t *raw);
  void refuse(h2o_req_t *raw, uint64_t id, const core::Error &error);
  void startChecks();
  void check();
  void onDispose(uint64_t id);
  void respond(uint64_t id, const Response &response);
  void useDescriptors();
  bool mayAccept();
  void accept(uv_stream_t *listener);
  bool isIdle() const;

  void watchLater(uint64_t connection);
  void watchReads(ConnectionTag &tag);
  void watchUnwatched();
  void allocInput(uv_handle_t *handle, size_t hint, uv_buf_t *buf);
  void readInput(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
  bool countHttp2(ConnectionTag &tag);
  void releaseHttp2(ConnectionTag &tag);
  void closeIncomplete(uint64_t connection);
  void abort(uint64_t connection);
  void onClose(uint64_t connection);
};

Server::State::State(task::Loop &loop, ServerOptions options,
                     Server::Handler handler)
    : Loop(loop), Options(std::move(options)), Handler(std::move(handler)),
      Table(Options.Name, Options.Budget,
            {.Close = [this](uint64_t id) { closeIncomplete(id); },
             .Abort = [this](uint64_t id) { abort(id); }}) {
  BeforePoll = new uv_prepare_t;
  uv_prepare_init(Loop.raw(), BeforePoll);
  BeforePoll->data = this;
}

// Reads happen only while the loop polls, so each is preceded by this.
void Server::State::watchLater(uint64_t connection) {
  if (Unwatched.empty())
    uv_prepare_start(BeforePoll, [](uv_prepare_t *h) {
      static_cast<State *>(h->data)->watchUnwatched();
    });
  Unwatched.push_back(connection);
}

void Server::State::watchUnwatched() {
  uv_prepare_stop(BeforePoll);
  for (const uint64_t id : std::exchange(Unwatched, {})) {
    const auto it = Tags.find(id);
    if (it != Tags.end())
      watchReads(*it->second);
  }
}

// Puts allocInput() before the function by which h2o allocates the buffer of a
// read, and readInput() before the one that takes what was read.
void Server::State::watchReads(ConnectionTag &tag) {
  h2o_socket_t *socket = tag.Socket;
  // h2o frees the buffer once all of it has been processed.
  if (!socket->input->bytes)
    Table.release(tag.Id, std::exchange(tag.InputBytes, 0));
  const auto watched = [](uv_handle_t *handle, size_t hint, uv_buf_t *buf) {
    auto *owner = tagOf(handle).Owner;
    static_cast<State *>(owner)->allocInput(handle, hint, buf);
  };
  // h2o stops reading from an HTTP/2 connection whose answers are not read, and
  // starts again when they are.
  if (tag.Http2 && tag.Http2->isHttp2() &&
      (!h2o_socket_is_reading(socket) ||
       uv_stream_get_write_queue_size(tag.Stream) > 0))
    watchLater(tag.Id);
  if (!h2o_socket_is_reading(socket) || tag.Stream->alloc_cb == watched)
    return;
  AllocInput = tag.Stream->alloc_cb;
  tag.Stream->alloc_cb = watched;
  if (!tag.Http2)
    return;
  ReadInput = tag.Stream->read_cb;
  tag.Stream->read_cb = [](uv_stream_t *stream, ssize_t n,
                           const uv_buf_t *buf) {
    auto *owner = tagOf(reinterpret_cast<uv_handle_t *>(stream)).Owner;
    static_cast<State *>(owner)->readInput(stream, n, buf);
  };
}

void Server::State::readInput(uv_stream_t *stream, ssize_t n,
                              const uv_buf_t *buf) {
  auto &tag = tagOf(reinterpret_cast<uv_handle_t *>(stream));
  if (n > 0) {
    tag.Http2->receive({buf->base, size_t(n)},
                       uv_stream_get_write_queue_size(stream) > 0);
    if (tag.Http2->isHttp2())
      watchLater(tag.Id);
    if (!countHttp2(tag)) {
      // A write that is in flight would keep the connection.
      abort(tag.Id);
      const uv_buf_t none = uv_buf_init(nullptr, 0);
      ReadInput(stream, UV_ECANCELED, &none);
      return;
    }
  }
  ReadInput(stream, n, buf);
}

// False if the connection must end, because it holds too much.
bool Server::State::countHttp2(ConnectionTag &tag) {
  const size_t held = tag.Http2->heldBytes();
  if (tag.Http2->hasStreams())
    Table.receive(tag.Id);
  if (held > tag.Http2Bytes) {
    const size_t growth = held - tag.Http2Bytes;
    const bool fits = Table.reserve(tag.Id, growth);
    if (Table.needsChecks())
      startChecks();
    if (!fits)
      return false;
    tag.Http2Bytes = held;
  }
  releaseHttp2(tag);
  return true;
}

void Server::State::releaseHttp2(ConnectionTag &tag) {
  const size_t held = tag.Http2->heldBytes();
  if (held < tag.Http2Bytes)
    Table.release(tag.Id, std::exchange(tag.Http2Bytes, held) - held);
  if (!tag.Http2->hasStreams())
    Table.cancelReceive(tag.Id);
}

// An empty buffer makes libuv report an error to h2o, which then closes the
// connection.
void Server::State::allocInput(uv_handle_t *handle, size_t hint,
                               uv_buf_t *buf) {
  auto &tag = tagOf(handle);
  const h2o_buffer_t *input = tag.Socket->input;
  if (input->size > 0)
    Table.receive(tag.Id);
  const size_t growth = nextGrowth(input);
  const bool fits = growth == 0 || Table.reserve(tag.Id, growth);
  if (Table.needsChecks())
    startChecks();
  if (!fits) {
    if (!tag.Http2 || !tag.Http2->isHttp2())
      sendRefusal(h2o_socket_get_fd(tag.Socket));
    *buf = uv_buf_init(nullptr, 0);
    return;
  }
  tag.InputBytes += growth;
  AllocInput(handle, hint, buf);
}

void Server::State::closeIncomplete(uint64_t connection) {
  const auto &tag = *Tags.at(connection);
  const bool http2 = tag.Http2 && tag.Http2->isHttp2();
  if (!http2 && tag.Socket->input->size > 0)
    sendRefusal(h2o_socket_get_fd(tag.Socket));
  // A write that is in flight would keep the connection.
  if (http2)
    abort(connection);
  if (!h2o_socket_is_reading(tag.Socket)) {
    abort(connection);
    return;
  }
  const uv_buf_t none = uv_buf_init(nullptr, 0);
  tag.Stream->read_cb(tag.Stream, UV_ECANCELED, &none);
}

// h2o closes the connection when its write fails.
void Server::State::abort(uint64_t connection) {
  ::shutdown(h2o_socket_get_fd(Tags.at(connection)->Socket), SHUT_RDWR);
}

void Server::State::onClose(uint64_t connection) {
  const auto it = Tags.find(connection);
  NewConnections.erase(it->second->Socket);
  Table.closed(connection);
  Tags.erase(it);
}

int Server::State::onRequest(h2o_req_t *raw) {
  const uint64_t id = NextId++;
  h2o_socket_t *socket = raw->conn->callbacks->get_socket(raw->conn);
  const uint64_t connection = tagOf(socket).Id;
  NewConnections.erase(socket);
  Requests.emplace(
      id, OpenRequest{raw, connection, core::monotonicNow(), {}, false});
  Requests.at(id).Stream = streamOf(raw);
  auto *tag = static_cast<RequestTag *>(
      h2o_mem_alloc_shared(&raw->pool, sizeof(RequestTag), [](void *p) {
        const auto *m = static_cast<RequestTag *>(p);
        static_cast<State *>(m->Owner)->onDispose(m->Id);
      }));
  *tag = {this, id};
  startChecks();
  // The copies below are no larger than the input that they are read from.
  const size_t copied =
      raw->version < Http2Version ? socket->input->size : raw->entity.len;
  if (!Table.begin(connection, copied)) {
    refuse(raw, id, noMemory());
    return 0;
  }
  Requests.at(id).CopiedBytes = copied;
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
  exchange.IsConnected = [weak, id] {
    const auto self = weak.lock();
    if (!self)
      return false;
    const auto it = (*self)->Requests.find(id);
    return it != (*self)->Requests.end() && !it->second.Answered &&
           !callerDisconnected(it->second.Raw);
  };
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

void Server::State::startChecks() {
  if (std::exchange(Checking, true))
    return;
  CheckTimer.every(DisconnectCheckInterval, [this] { check(); });
}

void Server::State::check() {
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
  Table.check();
  if (!Requests.empty() || Table.needsChecks())
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
  const uint64_t connection = it->second.Connection;
  const size_t copied = it->second.CopiedBytes;
  const size_t answer = it->second.AnswerBytes;
  const uint32_t stream = it->second.Stream;
  Requests.erase(it);
  Table.finish(connection, copied, answer);
  if (Options.Budget->Descriptors)
    Options.Budget->Descriptors->onIdle();
  if (const auto tag = Tags.find(connection); tag != Tags.end()) {
    if (tag->second->Http2 && tag->second->Http2->isHttp2()) {
      tag->second->Http2->close(stream);
      releaseHttp2(*tag->second);
    }
    watchLater(connection);
  }
  if (disconnected && !answered)
    disconnected();
}

void Server::State::respond(uint64_t id, const Response &response) {
  const auto it = Requests.find(id);
  if (it == Requests.end() || it->second.Answered)
    return;
  it->second.Answered = true;
  h2o_req_t *raw = it->second.Raw;
  const size_t bytes = encodedBytes(response);
  if (!Table.answer(it->second.Connection, bytes)) {
    // Whether the request has run can't be told without its answer.
    abort(it->second.Connection);
    raw->http1_is_persistent = 0;
    h2o_send_inline(raw, "", 0);
    return;
  }
  it->second.AnswerBytes = bytes;
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

void Server::State::useDescriptors() {
  if (const auto &budget = Options.Budget->Descriptors)
    DescriptorUser = budget->addUser(task::DescriptorKind::Inbound,
                                     {[this] { return Table.longestIdle(); },
                                      [this] { Table.closeLongestIdle(); },
                                      [this] { Listener->resume(); }});
}

bool Server::State::mayAccept() {
  const auto &budget = Options.Budget->Descriptors;
  if (!budget)
    return true;
  auto lease = budget->take(task::DescriptorKind::Inbound);
  if (!lease && Table.endSlowest())
    lease = budget->take(task::DescriptorKind::Inbound);
  if (Table.needsChecks())
    startChecks();
  if (!lease) {
    budget->countPause();
    return false;
  }
  NextLease = std::move(*lease);
  return true;
}

void Server::State::accept(uv_stream_t *listener) {
  task::DescriptorLease lease = std::move(NextLease);
  auto *conn = static_cast<uv_tcp_t *>(h2o_mem_alloc(sizeof(uv_tcp_t)));
  uv_tcp_init(listener->loop, conn);
  if (uv_accept(listener, reinterpret_cast<uv_stream_t *>(conn)) != 0) {
    uv_close(reinterpret_cast<uv_handle_t *>(conn),
             [](uv_handle_t *h) { std::free(h); });
    return;
  }
  uv_tcp_nodelay(conn, 1);
  // Later connections inherit the sizes from the listener.
  if (!std::exchange(BuffersAreLimited, true)) {
    limitSocketBuffers(listener);
    limitSocketBuffers(reinterpret_cast<uv_stream_t *>(conn));
  }
  const auto id = Table.open();
  if (Table.needsChecks())
    startChecks();
  // A connection that ends to make room may close only later, once its write
  // fails; until then it has its descriptor.
  const bool full = Tags.size() >= Options.Budget->MaxConnections;
  if (id && full)
    Table.closed(*id);
  if (!id || full) {
    int fd = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t *>(conn), &fd) == 0)
      sendRefusal(fd);
    uv_close(reinterpret_cast<uv_handle_t *>(conn),
             [](uv_handle_t *h) { std::free(h); });
    return;
  }
  auto *stream = reinterpret_cast<uv_stream_t *>(conn);
  h2o_socket_t *socket =
      h2o_uv_socket_create(stream, [](uv_handle_t *h) { std::free(h); });
  NewConnections.emplace(socket, core::monotonicNow());
  auto &tag = Tags[*id];
  tag = std::make_unique<ConnectionTag>(
      ConnectionTag{this, *id, socket, stream, 0, std::move(lease)});
  if (Options.Http2)
    tag->Http2.emplace(Config.max_request_entity_size);
  socket->on_close.data = tag.get();
  socket->on_close.cb = [](void *p) {
    const auto *closed = static_cast<ConnectionTag *>(p);
    static_cast<State *>(closed->Owner)->onClose(closed->Id);
  };
  h2o_accept(&Accept, socket);
  watchLater(*id);
}

bool Server::State::isIdle() const {
  const auto now = core::monotonicNow();
  return Requests.empty() &&
         std::none_of(NewConnections.begin(), NewConnections.end(),
                      [now](const auto &row) {
                        return now - row.second < FirstRequestGrace;
                      });
}

static ServerOptions withBudget(ServerOptions options) {
  if (!options.Budget)
    options.Budget = std::make_shared<ServerBudget>(
        ServerBudget::ofPlan(core::planMemory(0)));
  return options;
}

Server::Server(task::Loop &loop, ServerOptions options, Handler handler)
    : S(new State(loop, withBudget(std::move(options)), std::move(handler))) {
  h2o_config_init(&S->Config);
  S->Config.max_request_entity_size = std::min(
      // One byte above the limit, so that the handler refuses the body itself.
      S->Options.MaxBodyBytes + 1,
      S->Options.Budget->Requests.limit() / MaxBodyPart);
  S->Config.http1.upgrade_to_http2 = S->Options.Http2 ? 1 : 0;
  S->Config.http2.max_concurrent_requests_per_connection = MaxHttp2Streams;
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
      loop, task::TcpListenerHooks{
                .OnConnection =
                    [state = S.get()](uv_stream_t *l) { state->accept(l); },
                .MayAccept = [state = S.get()] { return state->mayAccept(); },
                .OnPause =
                    [state = S.get()] {
                      if (state->Options.Budget->Descriptors)
                        state->Options.Budget->Descriptors->countPause();
                    }});
  S->useDescriptors();
}

// Open connections still refer to the state, so it is deliberately leaked until
// the process ends.
Server::~Server() {
  S->Listener->close();
  if (S->DescriptorUser)
    S->Options.Budget->Descriptors->removeUser(*S->DescriptorUser);
  S->Handler = [](const Exchange &) {};
  S->CheckTimer.stop();
  for (auto &[id, open] : S->Requests)
    open.OnDisconnect = nullptr;
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
