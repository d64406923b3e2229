#include "net/deflate.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/error.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace heatherspan {
namespace {

namespace zlib = boost::beast::zlib;

/// The format's largest ratio, rounded up.
constexpr std::size_t kMaxRatio = 1100;
constexpr int kLevel = 6;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;

auto ParametersFor(std::string_view input, std::string& output) -> zlib::z_params {
  zlib::z_params parameters;
  parameters.next_in = input.data();
  parameters.avail_in = input.size();
  parameters.next_out = output.data();
  parameters.avail_out = output.size();
  return parameters;
}

}  // namespace

auto Deflate(std::string_view text) -> std::string {
  zlib::deflate_stream stream;
  stream.reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string deflated(stream.upper_bound(text.size()), '\0');
  auto parameters = ParametersFor(text, deflated);
  boost::beast::error_code error;
  // The bound has room for the whole output.
  stream.write(parameters, zlib::Flush::finish, error);
  deflated.resize(parameters.total_out);
  return deflated;
}

auto Inflate(std::string_view deflated, std::size_t size) -> std::optional<std::string> {
  if (size / kMaxRatio > deflated.size()) return std::nullopt;
  // One byte more shows a text that is longer.
  std::string text(size + 1, '\0');
  zlib::inflate_stream stream;
  stream.reset(kWindowBits);
  auto parameters = ParametersFor(deflated, text);
  boost::beast::error_code error;
  stream.write(parameters, zlib::Flush::sync, error);
  if (error != zlib::error::end_of_stream || parameters.total_out != size) return std::nullopt;
  text.resize(size);
  return text;
}

}  // namespace heatherspan
