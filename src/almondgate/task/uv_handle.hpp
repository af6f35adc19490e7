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

} // namespace almondgate::task

#endif
