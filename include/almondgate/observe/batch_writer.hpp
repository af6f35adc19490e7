#ifndef ALMONDGATE_OBSERVE_BATCH_WRITER_HPP
#define ALMONDGATE_OBSERVE_BATCH_WRITER_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/observe/line_writer.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace almondgate::observe {

/// Settings of a BatchWriter.
struct BatchWriterOptions {
  /// How long lines are collected before they are written together.
  core::DurationMs CollectFor{50};
  /// The longest that a write waits for a reader.
  core::DurationMs Patience{500};
  /// Bytes that may wait to be written; lines beyond are dropped.
  size_t MaxBytes = size_t{1} << 20;

  bool operator==(const BatchWriterOptions &) const = default;
};

/// Writes lines to a descriptor from a thread of its own, many in one write, so
/// that the cost of a line is its formatting: a wake-up and a system call for
/// each of a thousand lines a second took a tenth of a small VM's processor.
/// Without the thread, which a process may not be able to start, each line is
/// written by its own thread. Thread-safe.
class BatchWriter {
public:
  using CountDropped = std::function<void(int64_t)>;

  /// `dropped` receives the number of lines that were not written; it is called
  /// from any thread.
  BatchWriter(int fd, BatchWriterOptions options, CountDropped dropped);
  ~BatchWriter();
  BatchWriter(const BatchWriter &) = delete;
  BatchWriter &operator=(const BatchWriter &) = delete;

  /// Queues a line, which ends with a line feed. An `urgent` one is written at
  /// once, together with those before it.
  void write(std::string_view line, bool urgent = false);

  /// Writes what is queued and ends the thread; later lines are written by
  /// their own threads.
  void close();

private:
  void run();
  void writeLines(std::string_view lines);

  const BatchWriterOptions Options;
  const CountDropped Dropped;
  std::mutex Mutex;
  std::condition_variable Changed;
  /// Guarded by Mutex.
  std::string Queued;
  bool Urgent = false;
  bool Closing = false;
  bool HasThread = false;
  /// Used by the thread, or under Mutex without one.
  LineWriter Writer;
  std::thread Thread;
};

} // namespace almondgate::observe

#endif
