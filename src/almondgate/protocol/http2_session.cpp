#include "http2_session.hpp"

#include "almondgate/core/invariant.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace almondgate::protocol {

namespace {

constexpr uint32_t MaxStreams = 10000;
constexpr int32_t StreamWindowBytes = 1 << 20;
constexpr int32_t ConnectionWindowBytes = 4 << 20;
constexpr size_t MaxHeaderBytes = 8192;
// As RFC 9113 counts the size of a field section.
constexpr size_t FieldOverheadBytes = 32;

std::vector<nghttp2_nv> toNghttp2(const std::vector<HeaderField> &headers) {
  std::vector<nghttp2_nv> out;
  out.reserve(headers.size());
  for (const auto &field : headers) {
    auto *name = reinterpret_cast<uint8_t *>(
        const_cast<char *>(field.Name.data())); // NOLINT
    auto *value = reinterpret_cast<uint8_t *>(
        const_cast<char *>(field.Value.data())); // NOLINT
    out.push_back({name, value, field.Name.size(), field.Value.size(),
                   NGHTTP2_NV_FLAG_NONE});
  }
  return out;
}

} // namespace

struct SessionCallbacks {
  static Http2Session &self(void *user) {
    return *static_cast<Http2Session *>(user);
  }

  static int onHeader(nghttp2_session *, const nghttp2_frame *frame,
                      const uint8_t *name, size_t name_size,
                      const uint8_t *value, size_t value_size, uint8_t,
                      void *user) {
    const bool trailer = frame->headers.cat == NGHTTP2_HCAT_HEADERS;
    if (trailer)
      return 0;
    auto &stream = self(user).IncomingStreams[frame->hd.stream_id];
    stream.HeaderBytes += name_size + value_size + FieldOverheadBytes;
    if (stream.HeaderBytes > MaxHeaderBytes)
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    stream.Headers.push_back(
        {std::string(reinterpret_cast<const char *>(name), name_size),
         std::string(reinterpret_cast<const char *>(value), value_size)});
    return 0;
  }

  static int onData(nghttp2_session *, uint8_t, int32_t id, const uint8_t *data,
                    size_t n, void *user) {
    auto &session = self(user);
    const auto it = session.IncomingStreams.find(id);
    if (it == session.IncomingStreams.end())
      return 0;
    auto &message = it->second;
    const size_t size = message.Body.size() + n;
    if (size > session.MaxBodyBytes || !message.Held.growTo(size)) {
      session.IncomingStreams.erase(it);
      session.Hooks.OnRefused(id);
      return 0;
    }
    message.Body.append(reinterpret_cast<const char *>(data), n);
    return 0;
  }

  static int onFrame(nghttp2_session *, const nghttp2_frame *frame,
                     void *user) {
    const bool has_content =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!has_content)
      return 0;
    auto &session = self(user);
    const int32_t id = frame->hd.stream_id;
    const auto it = session.IncomingStreams.find(id);
    if (it == session.IncomingStreams.end())
      return 0;
    if (!it->second.Accepted) {
      it->second.Accepted = session.Hooks.OnHeaders(id, it->second);
      if (!it->second.Accepted) {
        session.IncomingStreams.erase(it);
        return 0;
      }
    }
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
      return 0;
    session.Events.push_back({id, false, std::move(it->second)});
    session.IncomingStreams.erase(it);
    return 0;
  }

  static int onClose(nghttp2_session *, int32_t id, uint32_t, void *user) {
    auto &session = self(user);
    session.IncomingStreams.erase(id);
    session.dropBody(id);
    session.Events.push_back({id, true, {}});
    return 0;
  }

  static ssize_t readBody(nghttp2_session *, int32_t id, uint8_t *buf,
                          size_t size, uint32_t *flags,
                          nghttp2_data_source *source, void *) {
    auto &session = self(source->ptr);
    const auto it = session.OutgoingBodies.find(id);
    if (it == session.OutgoingBodies.end())
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    auto &out = it->second;
    if (!session.isFirstOfLane(id, out))
      return NGHTTP2_ERR_DEFERRED;
    const size_t n = std::min(size, out.Body.size() - out.Sent);
    std::copy_n(out.Body.data() + out.Sent, n, buf);
    out.Sent += n;
    session.SentBytes += n;
    if (out.Sent == out.Body.size()) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      session.dropBody(id);
    }
    return ssize_t(n);
  }
};

size_t IncomingStream::contentLength() const {
  const auto text = header("content-length");
  size_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

std::string_view IncomingStream::header(std::string_view name) const {
  const auto it =
      std::find_if(Headers.begin(), Headers.end(),
                   [&](const HeaderField &f) { return f.Name == name; });
  return it == Headers.end() ? std::string_view() : it->Value;
}

Http2Session::Http2Session(bool server, size_t max_body_bytes,
                           Http2SessionHooks hooks)
    : MaxBodyBytes(max_body_bytes), Hooks(std::move(hooks)) {
  nghttp2_session_callbacks *callbacks = nullptr;
  core::invariant(nghttp2_session_callbacks_new(&callbacks) == 0,
                  "nghttp2 callbacks could not be allocated");
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   SessionCallbacks::onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, SessionCallbacks::onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, SessionCallbacks::onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, SessionCallbacks::onClose);
  nghttp2_option *options = nullptr;
  core::invariant(nghttp2_option_new(&options) == 0,
                  "nghttp2 options could not be allocated");
  // They serve only the priorities between streams, which nobody sets.
  nghttp2_option_set_no_closed_streams(options, 1);
  const auto create =
      server ? nghttp2_session_server_new2 : nghttp2_session_client_new2;
  const int code = create(&Session, callbacks, this, options);
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(callbacks);
  core::invariant(code == 0, "nghttp2 session could not be created");
  const std::array<nghttp2_settings_entry, 2> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
  }};
  nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
}

void Http2Session::widenWindows() {
  nghttp2_session_set_local_window_size(Session, NGHTTP2_FLAG_NONE, 0,
                                        ConnectionWindowBytes);
}

Http2Session::~Http2Session() { nghttp2_session_del(Session); }

bool Http2Session::receive(std::string_view data) {
  const auto *bytes = reinterpret_cast<const uint8_t *>(data.data());
  const bool valid = nghttp2_session_mem_recv(Session, bytes, data.size()) >= 0;
  deliver();
  return valid;
}

// Runs after nghttp2 has returned, so that hooks may send and fail.
void Http2Session::deliver() {
  for (auto &event : std::exchange(Events, {})) {
    if (event.Closed)
      Hooks.OnStreamClosed(event.Stream);
    else
      Hooks.OnMessage(event.Stream, event.Message);
  }
}

bool Http2Session::isFirstOfLane(int32_t stream,
                                 const OutgoingBody &body) const {
  return !body.Lane || *Lanes.at(*body.Lane).begin() == stream;
}

void Http2Session::dropBody(int32_t stream) {
  const auto it = OutgoingBodies.find(stream);
  if (it == OutgoingBodies.end())
    return;
  const auto lane = it->second.Lane;
  OutgoingBodies.erase(it);
  if (!lane)
    return;
  auto &streams = Lanes.at(*lane);
  streams.erase(stream);
  if (streams.empty())
    Lanes.erase(*lane);
  else
    Resumable.push_back(*streams.begin());
}

void Http2Session::resumeDeferred() {
  // Fails for a stream that was not deferred, which needs no resuming.
  for (const int32_t stream : std::exchange(Resumable, {}))
    nghttp2_session_resume_data(Session, stream);
}

int32_t Http2Session::request(const std::vector<HeaderField> &headers,
                              std::string body, HeldBytes held, int lane) {
  const auto fields = toNghttp2(headers);
  nghttp2_data_provider provider{};
  provider.source.ptr = this;
  provider.read_callback = SessionCallbacks::readBody;
  const int32_t id = nghttp2_submit_request(Session, nullptr, fields.data(),
                                            fields.size(), &provider, nullptr);
  if (id < 0)
    return id;
  OutgoingBodies.emplace(
      id, OutgoingBody{std::move(body), std::move(held), 0, lane});
  Lanes[lane].insert(id);
  return id;
}

void Http2Session::respond(int32_t stream,
                           const std::vector<HeaderField> &headers,
                           std::string body, HeldBytes held) {
  if (!nghttp2_session_find_stream(Session, stream))
    return;
  const auto fields = toNghttp2(headers);
  nghttp2_data_provider provider{};
  provider.source.ptr = this;
  provider.read_callback = SessionCallbacks::readBody;
  const int code = nghttp2_submit_response(Session, stream, fields.data(),
                                           fields.size(), &provider);
  if (code == 0)
    OutgoingBodies.insert_or_assign(
        stream, OutgoingBody{std::move(body), std::move(held), 0, {}});
}

void Http2Session::cancelRequest(int32_t stream) {
  if (OutgoingBodies.contains(stream))
    reset(stream);
}

void Http2Session::reset(int32_t stream) {
  dropBody(stream);
  nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
}

void Http2Session::flush() {
  std::string out;
  const size_t room = Hooks.SendRoom();
  while (out.size() < room) {
    resumeDeferred();
    const uint8_t *data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(Session, &data);
    if (n <= 0)
      break;
    out.append(reinterpret_cast<const char *>(data), size_t(n));
  }
  if (!out.empty())
    Hooks.Send(std::move(out));
  deliver();
}

} // namespace almondgate::protocol
