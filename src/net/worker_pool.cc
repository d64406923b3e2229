#include "net/worker_pool.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace heatherspan {
namespace {

namespace asio = boost::asio;

enum class TimerState { kWaiting, kRunning, kCancelled };

/// Shared by the timer's handle and its pending wait. The timer is used on the strand only.
class TimerTask : public std::enable_shared_from_this<TimerTask> {
 public:
  TimerTask(asio::io_context& context, Duration interval, WorkerPool::Task task)
      : strand_(asio::make_strand(context)),
        timer_(strand_),
        interval_(interval),
        task_(std::move(task)) {}

  auto Start(Duration delay) -> void {
    asio::post(strand_, [self = shared_from_this(), delay] {
      self->timer_.expires_after(delay);
      self->Wait();
    });
  }

  auto Cancel() -> void {
    state_.store(TimerState::kCancelled);
    asio::post(strand_, [self = shared_from_this()] {
      self->timer_.cancel();
      self->task_ = nullptr;
    });
  }

 private:
  auto Wait() -> void {
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) self->Run();
    });
  }

  auto Run() -> void {
    auto expected = TimerState::kWaiting;
    if (!state_.compare_exchange_strong(expected, TimerState::kRunning)) return;
    task_();
    expected = TimerState::kRunning;
    if (interval_ == Duration::zero()) return;
    if (!state_.compare_exchange_strong(expected, TimerState::kWaiting)) return;
    // Runs that were missed, for example while the process was paused, are left out.
    const auto now = asio::steady_timer::clock_type::now();
    timer_.expires_at(std::max(timer_.expiry() + interval_, now));
    Wait();
  }

  asio::strand<asio::io_context::executor_type> strand_;
  asio::steady_timer timer_;
  const Duration interval_;
  WorkerPool::Task task_;
  std::atomic<TimerState> state_{TimerState::kWaiting};
};

}  // namespace

class WorkerPool::Timer {
 public:
  explicit Timer(std::shared_ptr<TimerTask> task) : task_(std::move(task)) {}
  ~Timer() { task_->Cancel(); }
  Timer(const Timer&) = delete;
  auto operator=(const Timer&) -> Timer& = delete;

 private:
  std::shared_ptr<TimerTask> task_;
};

class WorkerPool::Impl {
 public:
  explicit Impl(std::size_t threads)
      : context_(static_cast<int>(threads)), work_(context_.get_executor()) {
    for (std::size_t i = 0; i < threads; ++i) {
      threads_.emplace_back([this] { context_.run(); });
    }
  }

  ~Impl() { Stop(); }
  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;

  auto Stop() -> void {
    context_.stop();
    for (auto& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }

  auto context() -> asio::io_context& { return context_; }

 private:
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::vector<std::thread> threads_;
};

WorkerPool::WorkerPool(std::size_t threads)
    : impl_(std::make_unique<Impl>(std::max<std::size_t>(threads, 1))) {}

WorkerPool::~WorkerPool() = default;

auto WorkerPool::Post(Task task) -> void { asio::post(impl_->context(), std::move(task)); }

auto WorkerPool::RunAfter(Duration delay, Task task) -> std::shared_ptr<Timer> {
  auto pending = std::make_shared<TimerTask>(impl_->context(), Duration::zero(), std::move(task));
  pending->Start(delay);
  return std::make_shared<Timer>(std::move(pending));
}

auto WorkerPool::RunEvery(Duration interval, Task task) -> std::shared_ptr<Timer> {
  // A zero interval would mark a timer that runs once.
  const auto positive = std::max(interval, Duration(1));
  auto pending = std::make_shared<TimerTask>(impl_->context(), positive, std::move(task));
  pending->Start(positive);
  return std::make_shared<Timer>(std::move(pending));
}

auto WorkerPool::Stop() -> void { impl_->Stop(); }

auto WorkerPool::context() -> boost::asio::io_context& { return impl_->context(); }

}  // namespace heatherspan
