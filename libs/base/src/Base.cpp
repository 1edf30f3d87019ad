#include "base/base.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fmt/format.h>
#include <sodium.h>
#include <xxhash.h>

namespace wasabivale {

BootClock::time_point BootClock::now() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::Completed:
    return "completed";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string describe(const Error &Failure) {
  if (Failure.m_Peer.empty())
    return fmt::format("{}: {}", Failure.m_Step, Failure.m_Message);
  return fmt::format("{} ({}): {}", Failure.m_Step, Failure.m_Peer,
                     Failure.m_Message);
}

Random randomFromSystem() {
  std::random_device Device;
  return Random((static_cast<std::uint64_t>(Device()) << 32U) ^ Device());
}

std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

static std::string toHex(const unsigned char *Bytes, std::size_t Count) {
  std::string Hex;
  Hex.reserve(Count * 2);
  for (std::size_t I = 0; I < Count; ++I)
    fmt::format_to(std::back_inserter(Hex), "{:02x}", Bytes[I]);
  return Hex;
}

std::string digestHex(std::string_view Bytes) {
  std::array<unsigned char, crypto_generichash_BYTES> Digest{};
  crypto_generichash(Digest.data(), Digest.size(),
                     reinterpret_cast<const unsigned char *>(Bytes.data()),
                     Bytes.size(), nullptr, 0);
  return toHex(Digest.data(), Digest.size());
}

std::string randomIdentity() {
  std::array<unsigned char, 16> Bytes{};
  randombytes_buf(Bytes.data(), Bytes.size());
  return toHex(Bytes.data(), Bytes.size());
}

void invariantBroken(std::string_view Condition, std::string_view File,
                     int Line) {
  fmt::print(stderr, "fatal 9001 invariant_broken condition=\"{}\" at={}:{}\n",
             Condition, File, Line);
  std::fflush(stderr);
  std::abort();
}

} // namespace wasabivale
