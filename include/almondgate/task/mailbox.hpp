#ifndef ALMONDGATE_TASK_MAILBOX_HPP
#define ALMONDGATE_TASK_MAILBOX_HPP

#include "almondgate/task/wakeup.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace almondgate::task {

/// A bounded queue of messages to one task. Any thread may post; the handler
/// runs on the task's loop, once per message, in order of posting.
template <class Message> class Mailbox {
public:
  using Handler = std::function<void(Message)>;

  Mailbox(Loop &loop, size_t capacity, Handler handler)
      : Capacity(capacity), Handle(std::move(handler)),
        Wake(loop, [this] { drain(); }) {}

  /// Returns false if the mailbox is full: the message is dropped and the
  /// sender decides how to answer its own caller.
  [[nodiscard]] bool post(Message message) {
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      if (Waiting.size() >= Capacity)
        return false;
      Waiting.push_back(std::move(message));
    }
    Wake.request();
    return true;
  }

private:
  void drain() {
    std::deque<Message> batch;
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      batch.swap(Waiting);
    }
    for (auto &message : batch)
      Handle(std::move(message));
  }

  const size_t Capacity;
  Handler Handle;
  std::mutex Mutex;
  std::deque<Message> Waiting;
  Wakeup Wake;
};

} // namespace almondgate::task

#endif
