#pragma once

#include <memory>
#include <mutex>
#include <utility>

#include "daemon/configuration.h"

namespace heatherspan {

/// Publishes the configuration snapshot that all handlers read. Thread-safe; the lock is held only
/// to copy a pointer.
class PublishedConfiguration {
 public:
  /// Returns null before the first configuration.
  auto Current() const -> std::shared_ptr<const Configuration> {
    const std::lock_guard lock(mutex_);
    return current_;
  }

  auto Publish(std::shared_ptr<const Configuration> next) -> void {
    const std::lock_guard lock(mutex_);
    current_ = std::move(next);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> current_;
};

}  // namespace heatherspan
