#include "Meter.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <linux/perf_event.h>
#include <malloc.h>
#include <new>
#include <sys/ioctl.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::int64_t Held = 0;

void *allocate(std::size_t Size) {
  void *Block = std::malloc(Size);
  if (Block == nullptr)
    std::abort();
  Held += static_cast<std::int64_t>(malloc_usable_size(Block));
  return Block;
}

void release(void *Block) noexcept {
  if (Block == nullptr)
    return;
  Held -= static_cast<std::int64_t>(malloc_usable_size(Block));
  std::free(Block);
}

} // namespace

void *operator new(std::size_t Size) { return allocate(Size); }
void *operator new[](std::size_t Size) { return allocate(Size); }
void operator delete(void *Block) noexcept { release(Block); }
void operator delete[](void *Block) noexcept { release(Block); }
void operator delete(void *Block, std::size_t) noexcept { release(Block); }
void operator delete[](void *Block, std::size_t) noexcept { release(Block); }

namespace wasabivale::decisionbench {

namespace {

constexpr std::size_t Rounds = 5;

/// Counts the instructions of this process in user space.
class InstructionCounter {
public:
  InstructionCounter() {
    perf_event_attr Wanted{};
    Wanted.type = PERF_TYPE_HARDWARE;
    Wanted.size = sizeof(Wanted);
    Wanted.config = PERF_COUNT_HW_INSTRUCTIONS;
    Wanted.disabled = 1;
    Wanted.exclude_kernel = 1;
    Wanted.exclude_hv = 1;
    m_Descriptor =
        static_cast<int>(syscall(SYS_perf_event_open, &Wanted, 0, -1, -1, 0));
  }
  ~InstructionCounter() {
    if (m_Descriptor >= 0)
      close(m_Descriptor);
  }
  InstructionCounter(const InstructionCounter &) = delete;
  InstructionCounter &operator=(const InstructionCounter &) = delete;

  void begin() const {
    if (m_Descriptor < 0)
      return;
    ioctl(m_Descriptor, PERF_EVENT_IOC_RESET, 0);
    ioctl(m_Descriptor, PERF_EVENT_IOC_ENABLE, 0);
  }

  std::optional<double> end() const {
    std::uint64_t Count = 0;
    if (m_Descriptor < 0)
      return std::nullopt;
    ioctl(m_Descriptor, PERF_EVENT_IOC_DISABLE, 0);
    if (read(m_Descriptor, &Count, sizeof(Count)) != sizeof(Count))
      return std::nullopt;
    return static_cast<double>(Count);
  }

private:
  int m_Descriptor = -1;
};

Cost runRound(std::uint64_t Calls, const std::function<void()> &Step) {
  const InstructionCounter Counter;
  const auto Start = std::chrono::steady_clock::now();
  Counter.begin();
  for (std::uint64_t I = 0; I < Calls; ++I)
    Step();
  const std::optional<double> Instructions = Counter.end();
  const std::chrono::duration<double, std::nano> Time =
      std::chrono::steady_clock::now() - Start;
  const double Count = static_cast<double>(Calls);
  Cost Found;
  Found.m_Nanoseconds = Time.count() / Count;
  if (Instructions)
    Found.m_Instructions = *Instructions / Count;
  return Found;
}

} // namespace

Cost measure(std::uint64_t Calls, const std::function<void()> &Step) {
  std::vector<Cost> Found;
  for (std::size_t I = 0; I < Rounds; ++I)
    Found.push_back(runRound(Calls, Step));
  std::sort(Found.begin(), Found.end(),
            [](const Cost &Left, const Cost &Right) {
              return Left.m_Nanoseconds < Right.m_Nanoseconds;
            });
  return Found[Rounds / 2];
}

std::int64_t heldBytes() { return Held; }

double slope(const std::vector<std::pair<double, double>> &Points) {
  const double Count = static_cast<double>(Points.size());
  double MeanX = 0;
  double MeanY = 0;
  for (const auto &[X, Y] : Points) {
    MeanX += X / Count;
    MeanY += Y / Count;
  }
  double Above = 0;
  double Below = 0;
  for (const auto &[X, Y] : Points) {
    Above += (X - MeanX) * (Y - MeanY);
    Below += (X - MeanX) * (X - MeanX);
  }
  return Below == 0 ? 0 : Above / Below;
}

} // namespace wasabivale::decisionbench
