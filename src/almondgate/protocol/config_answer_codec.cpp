#include "almondgate/protocol/config_answer_codec.hpp"

#include "almondgate/encoding/codec.hpp"

#include <array>
#include <boost/endian/conversion.hpp>

namespace almondgate::protocol {

namespace {

constexpr size_t LengthBytes = 4;

} // namespace

std::string encodeConfigAnswer(const jobs::ConfigAnswer &answer) {
  const auto fields = encoding::encode(
      jobs::ConfigAnswer{answer.Version, {}, answer.Leader, answer.Term});
  std::array<unsigned char, LengthBytes> length;
  boost::endian::store_big_u32(length.data(), uint32_t(fields.size()));
  std::string out;
  out.reserve(LengthBytes + fields.size() + answer.Source.size());
  out.append(length.begin(), length.end());
  out += fields;
  out += answer.Source;
  return out;
}

core::Result<jobs::ConfigAnswer> decodeConfigAnswer(std::string_view bytes) {
  const core::Error cut{core::ErrorCode::Corrupt,
                        "answer with a configuration is cut short"};
  if (bytes.size() < LengthBytes)
    return cut;
  const auto *begin = reinterpret_cast<const unsigned char *>(bytes.data());
  const size_t size = boost::endian::load_big_u32(begin);
  bytes.remove_prefix(LengthBytes);
  if (bytes.size() < size)
    return cut;
  auto answer = encoding::decode<jobs::ConfigAnswer>(bytes.substr(0, size));
  if (!answer)
    return answer.error();
  auto out = std::move(answer.value());
  out.Source = bytes.substr(size);
  return out;
}

} // namespace almondgate::protocol
