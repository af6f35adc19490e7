#include "almondgate/observe/batch_writer.hpp"

#include <algorithm>
#include <chrono>
#include <climits>
#include <system_error>
#include <utility>

namespace almondgate::observe {

namespace {

constexpr size_t KeptBytes = size_t{64} * 1024;

// The part of `lines` that one write takes: as many whole lines as fit, or a
// single longer one.
std::string_view firstBatch(std::string_view lines) {
  if (lines.size() <= PIPE_BUF)
    return lines;
  size_t end = lines.rfind('\n', PIPE_BUF - 1);
  if (end == std::string_view::npos)
    end = lines.find('\n');
  return lines.substr(0, end == std::string_view::npos ? end : end + 1);
}

} // namespace

BatchWriter::BatchWriter(int fd, BatchWriterOptions options,
                         CountDropped dropped)
    : Options(options), Dropped(std::move(dropped)),
      Writer(fd, Options.Patience) {
  try {
    Thread = std::thread([this] { run(); });
    HasThread = true;
  } catch (const std::system_error &) {
    HasThread = false;
  }
}

BatchWriter::~BatchWriter() { close(); }

void BatchWriter::write(std::string_view line, bool urgent) {
  bool wake = false;
  {
    const std::lock_guard lock(Mutex);
    if (!HasThread || Closing) {
      writeLines(line);
      return;
    }
    if (Queued.size() + line.size() > Options.MaxBytes) {
      Dropped(1);
      return;
    }
    wake = Queued.empty() || (urgent && !Urgent);
    Queued.append(line);
    Urgent = Urgent || urgent;
  }
  if (wake)
    Changed.notify_one();
}

void BatchWriter::close() {
  {
    const std::lock_guard lock(Mutex);
    Closing = true;
  }
  Changed.notify_one();
  if (Thread.joinable())
    Thread.join();
}

void BatchWriter::run() {
  std::unique_lock lock(Mutex);
  std::string batch;
  while (true) {
    Changed.wait(lock, [this] { return !Queued.empty() || Closing; });
    if (Queued.empty())
      break;
    Changed.wait_for(lock, std::chrono::milliseconds(Options.CollectFor.Count),
                     [this] { return Urgent || Closing; });
    std::swap(batch, Queued);
    Urgent = false;
    const bool last = Closing;
    // While the process ends, later lines wait for those before them.
    if (!last)
      lock.unlock();
    writeLines(batch);
    if (!last)
      lock.lock();
    batch.clear();
    if (batch.capacity() > KeptBytes)
      batch.shrink_to_fit();
  }
}

void BatchWriter::writeLines(std::string_view lines) {
  while (!lines.empty()) {
    const auto batch = firstBatch(lines);
    if (!Writer.write(batch))
      Dropped(std::count(batch.begin(), batch.end(), '\n'));
    lines.remove_prefix(batch.size());
  }
}

} // namespace almondgate::observe
