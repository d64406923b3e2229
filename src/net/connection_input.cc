#include "net/connection_input.h"

#include <algorithm>

#include "net/connection_memory.h"

namespace heatherspan {

ConnectionInput::ConnectionInput(ConnectionMemory& memory)
    : memory_(memory), buffer_(kInitialBytes) {}

auto ConnectionInput::Space(bool may_shrink) -> std::span<char> {
  MakeRoom(may_shrink);
  return std::span(buffer_).subspan(end_);
}

auto ConnectionInput::MakeRoom(bool may_shrink) -> void {
  if (empty()) {
    Clear();
    if (may_shrink && buffer_.size() > kInitialBytes) {
      buffer_ = std::vector<char>(kInitialBytes);
      memory_.TryResizeBuffer(kInitialBytes);
    }
  }
  if (end_ < buffer_.size()) return;
  if (begin_ > 0) {
    std::copy(buffer_.begin() + static_cast<std::ptrdiff_t>(begin_), buffer_.end(),
              buffer_.begin());
    end_ -= begin_;
    begin_ = 0;
    return;
  }
  // A line that does not fit, which the limit of the header bounds.
  buffer_.resize(buffer_.size() * 2);
  memory_.TryResizeBuffer(buffer_.size());
}

auto ConnectionInput::OnRead(std::size_t size) -> void {
  end_ += size;
  // The next piece may be larger, if there is room for it.
  if (end_ == buffer_.size() && end_ < kMaxPieceBytes &&
      memory_.TryResizeBuffer(buffer_.size() * 2)) {
    buffer_.resize(buffer_.size() * 2);
  }
}

}  // namespace heatherspan
