#include "almondgate/core/address.hpp"
#include "almondgate/observe/log.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/tcp_stream.hpp"

#include "uv_handle.hpp"

#include <array>
#include <fcntl.h>
#include <optional>
#include <poll.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace almondgate::task {

namespace {

constexpr int ListenBacklog = 511;
// Under a constant stream of connections the queue is never seen empty.
constexpr int MaxDrainIterations = 16;
constexpr core::DurationMs ListenRetryInterval{100};
// How long a listener that may not or cannot accept waits until it tries again.
constexpr core::DurationMs AcceptPause{100};
constexpr size_t ReadBufferBytes = size_t{64} * 1024;

core::Error ioError(const std::string &what, int code) {
  return {core::ErrorCode::Io, what + ": " + uv_strerror(code)};
}

// An address is in use by an earlier process or by an outgoing connection, is
// not assigned to the VM yet, or descriptors or memory are short.
bool mayPass(int listen_error) {
  return listen_error == UV_EADDRINUSE || listen_error == UV_EADDRNOTAVAIL ||
         listen_error == UV_EMFILE || listen_error == UV_ENFILE ||
         listen_error == UV_ENOBUFS || listen_error == UV_ENOMEM;
}

core::Result<sockaddr_storage> toSockaddr(const core::Address &address) {
  sockaddr_storage out{};
  auto *ipv4 = reinterpret_cast<sockaddr_in *>(&out);
  if (uv_ip4_addr(address.Ip.c_str(), address.Port, ipv4) == 0)
    return out;
  auto *ipv6 = reinterpret_cast<sockaddr_in6 *>(&out);
  if (uv_ip6_addr(address.Ip.c_str(), address.Port, ipv6) == 0)
    return out;
  return core::Error{core::ErrorCode::InvalidArgument,
                     "not an IP address: " + address.Ip};
}

// One buffer per thread is enough, because OnData returns before the next read.
char *readBuffer() {
  thread_local std::array<char, ReadBufferBytes> buf;
  return buf.data();
}

} // namespace

struct TcpStream::State : std::enable_shared_from_this<TcpStream::State> {
  Loop *Owner = nullptr;
  uv_tcp_t *Handle = nullptr;
  TcpStreamHooks Hooks;
  OnConnect Connected;

  void startReading();
  void writeQueued(std::string data);
  void fail(const core::Error &error);
  void failLater(const core::Error &error);
  bool open() const { return Handle != nullptr; }
};

namespace {

struct WriteRequest {
  uv_write_t Raw;
  std::string Data;
};

} // namespace

void TcpStream::State::fail(const core::Error &error) {
  if (!open())
    return;
  closeHandle(Handle);
  const auto on_connect = std::exchange(Connected, nullptr);
  if (on_connect) {
    on_connect(error);
    return;
  }
  const auto on_close = std::exchange(Hooks.OnClose, nullptr);
  if (on_close)
    on_close(error);
}

void TcpStream::State::failLater(const core::Error &error) {
  const std::weak_ptr<State> weak = weak_from_this();
  Owner->defer([weak, error] {
    if (const auto self = weak.lock())
      self->fail(error);
  });
}

void TcpStream::State::startReading() {
  const auto alloc = [](uv_handle_t *, size_t, uv_buf_t *buf) {
    *buf = uv_buf_init(readBuffer(), ReadBufferBytes);
  };
  const auto read = [](uv_stream_t *h, ssize_t n, const uv_buf_t *buf) {
    if (!h->data || n == 0)
      return;
    const auto self = static_cast<State *>(h->data)->shared_from_this();
    if (n < 0) {
      self->fail(ioError("read", int(n)));
      return;
    }
    // Calls a copy, because the hook may destroy the stream and its hooks.
    const auto on_data = self->Hooks.OnData;
    if (on_data)
      on_data(std::string_view(buf->base, size_t(n)));
  };
  uv_read_start(reinterpret_cast<uv_stream_t *>(Handle), alloc, read);
}

void TcpStream::State::writeQueued(std::string data) {
  auto *request = new WriteRequest{{}, std::move(data)};
  request->Raw.data = request;
  uv_buf_t buf = uv_buf_init(request->Data.data(), request->Data.size());
  const auto done = [](uv_write_t *raw, int code) {
    auto *finished = static_cast<WriteRequest *>(raw->data);
    uv_stream_t *stream = raw->handle;
    delete finished;
    if (code == UV_ECANCELED || !stream->data)
      return;
    const auto self = static_cast<State *>(stream->data)->shared_from_this();
    if (code < 0) {
      self->fail(ioError("write", code));
      return;
    }
    // Calls a copy, because the hook may destroy the stream and its hooks.
    const auto on_written = self->Hooks.OnWritten;
    if (on_written)
      on_written();
  };
  auto *stream = reinterpret_cast<uv_stream_t *>(Handle);
  if (uv_write(&request->Raw, stream, &buf, 1, done) != 0)
    delete request;
}

TcpStream::TcpStream(Loop &loop, TcpStreamHooks hooks)
    : S(std::make_shared<State>()) {
  S->Owner = &loop;
  S->Hooks = std::move(hooks);
  S->Handle = new uv_tcp_t;
  uv_tcp_init(loop.raw(), S->Handle);
  S->Handle->data = S.get();
}

TcpStream::~TcpStream() {
  S->Connected = nullptr;
  S->Hooks = {};
  closeHandle(S->Handle);
}

void TcpStream::connect(const core::Address &address, OnConnect done) {
  S->Connected = std::move(done);
  const auto target = toSockaddr(address);
  if (!target) {
    S->failLater(target.error());
    return;
  }
  auto *request = new uv_connect_t;
  const auto connected = [](uv_connect_t *req, int code) {
    uv_stream_t *stream = req->handle;
    delete req;
    if (!stream->data)
      return;
    const auto self = static_cast<State *>(stream->data)->shared_from_this();
    if (code < 0) {
      self->fail(ioError("connect", code));
      return;
    }
    uv_tcp_nodelay(self->Handle, 1);
    self->startReading();
    const auto on_connect = std::exchange(self->Connected, nullptr);
    if (on_connect)
      on_connect(core::ok());
  };
  const auto *raw = reinterpret_cast<const sockaddr *>(&target.value());
  const int code = uv_tcp_connect(request, S->Handle, raw, connected);
  if (code == 0)
    return;
  delete request;
  S->failLater(ioError("connect", code));
}

core::Status TcpStream::accept(uv_stream_s *listener) {
  auto *stream = reinterpret_cast<uv_stream_t *>(S->Handle);
  const int code = uv_accept(listener, stream);
  if (code < 0)
    return ioError("accept", code);
  uv_tcp_nodelay(S->Handle, 1);
  S->startReading();
  return core::ok();
}

void TcpStream::write(std::string data) {
  if (S->open() && !data.empty())
    S->writeQueued(std::move(data));
}

void TcpStream::reset() {
  S->Connected = nullptr;
  S->Hooks = {};
  resetHandle(S->Handle);
}

size_t TcpStream::pendingBytes() const {
  if (!S->open())
    return 0;
  return uv_stream_get_write_queue_size(
      reinterpret_cast<const uv_stream_t *>(S->Handle));
}

TcpListener::TcpListener(Loop &loop, OnConnection fn)
    : TcpListener(loop, TcpListenerHooks{std::move(fn)}) {}

TcpListener::TcpListener(Loop &loop, TcpListenerHooks hooks)
    : Owner(loop), Hooks(std::move(hooks)), Retry(loop) {}

TcpListener::~TcpListener() { close(); }

core::Status TcpListener::listen(const core::Address &address) {
  const auto target = toSockaddr(address);
  if (!target)
    return target.error();
  At = address;
  const int code = tryToListen();
  if (code == 0)
    return core::ok();
  const auto error = ioError("listen on " + core::toString(At), code);
  if (!mayPass(code))
    return error;
  observe::logWarn("listen", error.Text + "; trying again");
  Retry.every(ListenRetryInterval, [this] { listenAgain(); });
  return core::ok();
}

int TcpListener::startListening(uv_tcp_t *handle) {
  const auto incoming = [](uv_stream_t *listener, int status) {
    if (listener->data)
      static_cast<TcpListener *>(listener->data)->onIncoming(status);
  };
  handle->data = this;
  return uv_listen(reinterpret_cast<uv_stream_t *>(handle), ListenBacklog,
                   incoming);
}

// A handle that failed to bind can't be bound again, so each attempt has its
// own. Libuv reports an address in use only when it listens.
int TcpListener::tryToListen() {
  const auto target = toSockaddr(At);
  auto *handle = new uv_tcp_t;
  uv_tcp_init(Owner.raw(), handle);
  int code = uv_tcp_bind(
      handle, reinterpret_cast<const sockaddr *>(&target.value()), 0);
  if (code == 0)
    code = startListening(handle);
  if (code != 0) {
    closeHandle(handle);
    return code;
  }
  Handle = handle;
  int fd = -1;
  uv_fileno(reinterpret_cast<const uv_handle_t *>(Handle), &fd);
  const int spare = ::fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (spare >= 0)
    Spare = spare;
  return 0;
}

void TcpListener::listenAgain() {
  if (tryToListen() != 0)
    return;
  Retry.stop();
  observe::logInfo("listen", "listens on " + core::toString(At) + " now");
}

void TcpListener::onIncoming(int status) {
  if (status != 0) {
    pause(status);
    return;
  }
  Failing = false;
  Waiting = true;
  resume();
}

// Libuv polls the socket no longer while a connection that it has accepted is
// not taken.
void TcpListener::resume() {
  if (!Waiting || !Handle)
    return;
  if (!Hooks.MayAccept()) {
    if (!AfterPoll)
      Retry.once(AcceptPause, [this] { resume(); });
    return;
  }
  Retry.stop();
  Waiting = false;
  ++Accepted;
  Hooks.OnConnection(reinterpret_cast<uv_stream_t *>(Handle));
}

// Libuv calls back for a failed accept() again and again, without a pause,
// until the handle is closed.
void TcpListener::pause(int error) {
  if (!std::exchange(Failing, true))
    observe::logWarn("listen",
                     ioError("accept on " + core::toString(At), error).Text +
                         "; trying again every " +
                         std::to_string(AcceptPause.Count) + " ms");
  Hooks.OnPause();
  Waiting = false;
  closeHandle(Handle);
  if (AfterPoll) {
    close();
    return;
  }
  reopenLater();
}

void TcpListener::reopenLater() {
  Retry.once(AcceptPause, [this] {
    if ((Spare ? reopen() : tryToListen()) != 0)
      reopenLater();
  });
}

int TcpListener::reopen() {
  const int fd = ::fcntl(*Spare, F_DUPFD_CLOEXEC, 0);
  if (fd < 0)
    return UV_EMFILE;
  auto *handle = new uv_tcp_t;
  uv_tcp_init(Owner.raw(), handle);
  int code = uv_tcp_open(handle, fd);
  if (code != 0)
    ::close(fd);
  else
    code = startListening(handle);
  if (code != 0) {
    closeHandle(handle);
    return code;
  }
  Handle = handle;
  return 0;
}

void TcpListener::close() {
  Retry.stop();
  Waiting = false;
  closeHandle(AfterPoll);
  closeHandle(KeepPolling);
  closeHandle(Handle);
  if (const auto spare = std::exchange(Spare, std::nullopt))
    ::close(*spare);
}

// An iteration accepts all connections that had arrived when it polled, so the
// queue was empty a moment ago if it accepted none.
void TcpListener::closeOnceDrained() {
  if (AfterPoll)
    return;
  if (!Handle) {
    close();
    return;
  }
  Retry.stop();
  AfterPoll = new uv_check_t;
  uv_check_init(Handle->loop, AfterPoll);
  AfterPoll->data = this;
  uv_check_start(AfterPoll, [](uv_check_t *h) {
    if (h->data)
      static_cast<TcpListener *>(h->data)->closeIfDrained();
  });
  // Keeps the loop from sleeping in the meantime.
  KeepPolling = new uv_idle_t;
  uv_idle_init(Handle->loop, KeepPolling);
  uv_idle_start(KeepPolling, [](uv_idle_t *) {});
  Accepted = 0;
}

// True if a connection arrived while the callbacks of this iteration ran.
static bool hasWaiting(const uv_tcp_t *listener) {
  pollfd waiting{-1, POLLIN, 0};
  return uv_fileno(reinterpret_cast<const uv_handle_t *>(listener),
                   &waiting.fd) == 0 &&
         ::poll(&waiting, 1, 0) > 0;
}

void TcpListener::closeIfDrained() {
  resume();
  const bool drained = std::exchange(Accepted, 0) == 0 && Iterations > 0 &&
                       !Waiting && !hasWaiting(Handle);
  if (drained || ++Iterations == MaxDrainIterations)
    close();
}

} // namespace almondgate::task
