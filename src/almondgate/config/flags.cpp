#include "flags.hpp"
#include "parse_value.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace almondgate::config {

using core::Error;
using core::ErrorCode;
using core::Status;

namespace {

constexpr const char *Version = "0.1.0";
constexpr int64_t MaxPort = 65535;
constexpr int64_t MaxDurationMs = 3600000;

std::string describe(const std::string &flag, const std::string &value,
                     const std::string &why) {
  return "--" + flag + " (" + environmentName(flag) + ") '" + value +
         "': " + why;
}

std::string environmentOr(const std::string &flag,
                          const std::string &fallback) {
  const char *value = std::getenv(environmentName(flag).c_str());
  return value && !trim(value).empty() ? value : fallback;
}

// TCLAP rejects a flag without a value.
bool isWithoutValue(const std::string &arg) {
  const size_t delimiter = arg.find('=');
  return arg.starts_with("--") && delimiter != std::string::npos &&
         trim(arg.substr(delimiter + 1)).empty();
}

} // namespace

std::string environmentName(const std::string &flag) {
  std::string out = "ALMONDGATE_";
  for (const char c : flag)
    out += c == '-' ? '_' : char(std::toupper(static_cast<unsigned char>(c)));
  return out;
}

Error invalidValue(const std::string &flag, const std::string &value,
                   const std::string &why) {
  return {ErrorCode::InvalidArgument, describe(flag, value, why)};
}

Flags::Flags(const std::string &description) : Line(description, '=', Version) {
  Line.setExceptionHandling(false);
  Line.add(Check);
}

void Flags::add(const std::string &name, const std::string &help,
                const std::string &fallback) {
  auto arg = std::make_unique<TCLAP::ValueArg<std::string>>(
      "", name, help + " (environment: " + environmentName(name) + ")", false,
      environmentOr(name, fallback), "value");
  Line.add(*arg);
  Values.emplace(name, std::move(arg));
  Defaults.emplace(name, fallback);
}

Status Flags::parse(std::vector<std::string> args) {
  std::erase_if(args, isWithoutValue);
  try {
    Line.parse(args);
  } catch (const TCLAP::ArgException &e) {
    return Error{ErrorCode::InvalidArgument, e.argId() + ": " + e.error()};
  } catch (const TCLAP::ExitException &e) {
    Ended = true;
    Code = e.getExitStatus();
  }
  return core::ok();
}

std::string Flags::text(const std::string &name) const {
  return trim(Values.at(name)->getValue());
}

std::string Flags::readWord(const std::string &name,
                            const std::vector<std::string> &words) {
  std::string value = text(name);
  if (std::find(words.begin(), words.end(), value) != words.end())
    return value;
  warn(name, value, "is unknown; using " + Defaults.at(name));
  return Defaults.at(name);
}

Status Flags::readRequiredAddress(const std::string &name,
                                  core::Address &out) const {
  const auto address = core::parseAddress(text(name));
  if (!address)
    return invalidValue(name, text(name), "must be IP:PORT");
  out = address.value();
  return core::ok();
}

core::Address Flags::readAddress(const std::string &name) {
  const std::string value = text(name);
  if (value.empty())
    return {};
  const auto address = core::parseAddress(value);
  if (address)
    return address.value();
  warn(name, value, "must be IP:PORT; it counts as not given");
  return {};
}

std::vector<core::Address> Flags::readAddresses(const std::string &name) {
  std::vector<core::Address> out;
  for (const auto &item : split(text(name), ',')) {
    const auto address = core::parseAddress(item);
    if (address)
      out.push_back(address.value());
    else
      warn(name, item, "must be IP:PORT; left out");
  }
  return out;
}

int64_t Flags::numberOrDefault(const std::string &name) {
  const std::string value = text(name);
  if (const auto number = parseNumber(value))
    return *number;
  warn(name, value, "must be a number; using " + Defaults.at(name));
  return parseNumber(Defaults.at(name)).value_or(0);
}

int64_t Flags::readNumber(const std::string &name, int64_t least,
                          int64_t most) {
  const int64_t number = numberOrDefault(name);
  const int64_t clamped = std::clamp(number, least, most);
  if (clamped != number)
    warn(name, text(name),
         "must be " + std::to_string(least) + " to " + std::to_string(most) +
             "; using " + std::to_string(clamped));
  return clamped;
}

double Flags::readFraction(const std::string &name, double least, double most) {
  const std::string value = text(name);
  const auto number = parseFraction(value);
  if (!number) {
    warn(name, value, "must be a number; using " + Defaults.at(name));
    return parseFraction(Defaults.at(name)).value_or(least);
  }
  const double clamped = std::clamp(*number, least, most);
  if (clamped != *number)
    warn(name, value,
         "must be " + std::to_string(least) + " to " + std::to_string(most) +
             "; using " + std::to_string(clamped));
  return clamped;
}

uint16_t Flags::readPort(const std::string &name) {
  const int64_t port = numberOrDefault(name);
  if (port >= 0 && port <= MaxPort)
    return uint16_t(port);
  warn(name, text(name), "is no port; it counts as not given");
  return 0;
}

bool Flags::readBool(const std::string &name) {
  const std::string value = text(name);
  if (const auto parsed = parseBool(value))
    return *parsed;
  warn(name, value, "must be true or false; using " + Defaults.at(name));
  return parseBool(Defaults.at(name)).value_or(false);
}

core::DurationMs Flags::readDuration(const std::string &name) {
  return {readNumber(name, 0, MaxDurationMs)};
}

void Flags::warn(const std::string &name, const std::string &value,
                 const std::string &why) {
  Warnings.push_back(describe(name, value, why));
}

} // namespace almondgate::config
