#ifndef ALMONDGATE_PROTOCOL_CONFIG_ANSWER_CODEC_HPP
#define ALMONDGATE_PROTOCOL_CONFIG_ANSWER_CODEC_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/jobs/config_answer.hpp"

#include <string>
#include <string_view>

namespace almondgate::protocol {

/// Encodes the reply of Method::ReadConfigAnswer: the length of the encoded
/// fields but the source (4 bytes, big-endian), these fields, and the source
/// as it is. An encoder would copy the source several times on each side, and
/// it may have hundreds of kilobytes.
std::string encodeConfigAnswer(const jobs::ConfigAnswer &answer);

/// Decodes the format of encodeConfigAnswer(). Errors: Corrupt.
core::Result<jobs::ConfigAnswer> decodeConfigAnswer(std::string_view bytes);

} // namespace almondgate::protocol

#endif
