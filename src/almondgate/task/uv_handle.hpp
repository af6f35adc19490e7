#ifndef ALMONDGATE_TASK_UV_HANDLE_HPP
#define ALMONDGATE_TASK_UV_HANDLE_HPP

#include <uv.h>

namespace almondgate::task {

/// Closes a handle allocated with `new` and frees it once libuv no longer uses
/// it.
template <class Handle> void closeHandle(Handle *&handle) {
  if (!handle)
    return;
  handle->data = nullptr;
  uv_close(reinterpret_cast<uv_handle_t *>(handle), [](uv_handle_t *closed) {
    delete reinterpret_cast<Handle *>(closed);
  });
  handle = nullptr;
}

/// Closes a connection with a reset, and frees its handle as closeHandle()
/// does: the kernel discards what it has not delivered yet.
inline void resetHandle(uv_tcp_t *&handle) {
  if (!handle)
    return;
  handle->data = nullptr;
  const auto free_handle = [](uv_handle_t *closed) {
    delete reinterpret_cast<uv_tcp_t *>(closed);
  };
  if (uv_tcp_close_reset(handle, free_handle) != 0)
    uv_close(reinterpret_cast<uv_handle_t *>(handle), free_handle);
  handle = nullptr;
}

} // namespace almondgate::task

#endif
