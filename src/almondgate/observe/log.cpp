#include "almondgate/observe/log.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/observe/batch_writer.hpp"

#include <atomic>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace almondgate::observe {

namespace {

log4cxx::LayoutPtr makeLayout(LogFormat format) {
  if (format == LogFormat::Json)
    return std::make_shared<log4cxx::JSONLayout>();
  return std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-dd HH:mm:ss.SSS} %p %c: %m%n");
}

log4cxx::LoggerPtr loggerOf(const char *part) {
  return log4cxx::Logger::getLogger(part);
}

constexpr int64_t MsPerSecond = 1000;

/// Admits MaxLinesPerSecond lines per second. Racing threads may exceed the
/// limit by a few lines.
struct LineRateLimiter {
  std::atomic<int64_t> Second{0};
  std::atomic<int64_t> Lines{0};
  std::atomic<int64_t> Dropped{0};

  void countDropped(int64_t n = 1) { Dropped += n; }

  bool admit() {
    const int64_t now = core::monotonicNow().Count / MsPerSecond;
    if (Second.exchange(now) != now)
      Lines = 0;
    if (++Lines <= MaxLinesPerSecond)
      return true;
    countDropped();
    return false;
  }
};

LineRateLimiter &rateLimiter() {
  static LineRateLimiter limiter;
  return limiter;
}

/// Formats lines on the thread that logs them and leaves the writing to a
/// BatchWriter. The library's asynchronous appender wakes its thread for each
/// line, and its console appender waits for a reader, so that a process could
/// not end.
class OutputAppender : public log4cxx::AppenderSkeleton {
public:
  void close() override { Writer.close(); }
  bool requiresLayout() const override { return true; }

protected:
  // The library calls it from one thread at a time.
  void append(const log4cxx::spi::LoggingEventPtr &event,
              log4cxx::helpers::Pool &pool) override {
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    Writer.write(
        line, event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn()));
  }

private:
  BatchWriter Writer{STDOUT_FILENO, BatchWriterOptions{},
                     [](int64_t n) { rateLimiter().countDropped(n); }};
};

} // namespace

void startLogging(LogFormat format, const std::string &level) {
  const auto output = std::make_shared<OutputAppender>();
  output->setLayout(makeLayout(format));
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(output);
  root->setLevel(log4cxx::Level::toLevel(level));
}

void stopLogging() { log4cxx::LogManager::shutdown(); }

int64_t droppedLines() { return rateLimiter().Dropped.load(); }

void logInfo(const char *part, const std::string &line) {
  if (rateLimiter().admit())
    LOG4CXX_INFO(loggerOf(part), line);
}

void logWarn(const char *part, const std::string &line) {
  if (rateLimiter().admit())
    LOG4CXX_WARN(loggerOf(part), line);
}

void logError(const char *part, const std::string &line) {
  LOG4CXX_ERROR(loggerOf(part), line);
}

LogLine infoLine(const char *part) {
  const auto logger = loggerOf(part);
  return [logger](const std::string &line) {
    if (rateLimiter().admit())
      LOG4CXX_INFO(logger, line);
  };
}

} // namespace almondgate::observe
