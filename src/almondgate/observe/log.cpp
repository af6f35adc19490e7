#include "almondgate/observe/log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

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

} // namespace

void startLogging(LogFormat format, const std::string &level) {
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      makeLayout(format), log4cxx::ConsoleAppender::getSystemErr());
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(level));
}

void logInfo(const char *part, const std::string &line) {
  LOG4CXX_INFO(loggerOf(part), line);
}

void logWarn(const char *part, const std::string &line) {
  LOG4CXX_WARN(loggerOf(part), line);
}

void logError(const char *part, const std::string &line) {
  LOG4CXX_ERROR(loggerOf(part), line);
}

LogLine infoLine(const char *part) {
  const auto logger = loggerOf(part);
  return [logger](const std::string &line) { LOG4CXX_INFO(logger, line); };
}

} // namespace almondgate::observe
