/// \file
/// Vocabulary shared by every library: identities, time, results, errors,
/// refusal reasons and seeded randomness.
///
/// Nothing here does I/O except `BootClock::now`, and nothing is thread-safe:
/// a process runs one event loop on one thread.

#ifndef WASABIVALE_BASE_BASE_H
#define WASABIVALE_BASE_BASE_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace wasabivale {

/// Clock that goes on while the VM is suspended (`CLOCK_BOOTTIME`).
/// Every deadline and lease is a `TimePoint` of this clock. Its epoch is the
/// boot of the VM, so a time point means nothing to another process.
struct BootClock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  static time_point now();
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

/// A string identity that cannot be confused with one of another kind.
template <typename Tag> struct Id {
  std::string m_Value;

  bool operator==(const Id &) const = default;
  bool operator<(const Id &Other) const { return m_Value < Other.m_Value; }
  [[nodiscard]] bool empty() const { return m_Value.empty(); }
};

struct NodeTag;
struct TargetTag;
struct CallerTag;
struct ZoneTag;
struct RegionTag;
struct ModelTag;
struct RequestTag;

/// A process of this system: an entry or a control member. Stable across
/// restarts; taken from the settings.
using NodeId = Id<NodeTag>;
/// An engine or a plain service, as it named itself when it announced itself.
using TargetId = Id<TargetTag>;
/// A customer's key holder, as named in the configuration.
using CallerId = Id<CallerTag>;
/// An availability zone, for example `attiki-1`.
using ZoneId = Id<ZoneTag>;
/// A region: a set of availability zones.
using RegionId = Id<RegionTag>;
/// A model, or a model with adapter and version: `base[+adapter][@version]`.
using ModelId = Id<ModelTag>;
/// One arrival of a caller's request, or one call of an operator.
using RequestId = Id<RequestTag>;

/// What a caller may believe about its request.
enum class Outcome : std::uint8_t {
  Completed, ///< A target ran it and the whole answer was passed on.
  NotRun,    ///< No target ran it, nor ever will for this arrival.
  Unknown,   ///< A target may have run it.
};

/// Wire name of an outcome: `completed`, `not_run` or `unknown`.
std::string_view outcomeName(Outcome Value);

/// Why a request, order or call was refused. Numbers are stable: they appear
/// in answers to callers, in metrics and in docs/INTERFACES.md.
enum class Refusal : std::uint16_t {
#define REFUSAL(Number, Name, Status, RetryHelps, Text) Name = Number,
#include "base/Refusals.def"
};

/// Facts about one refusal reason.
struct RefusalInfo {
  std::uint16_t m_Number = 0;
  std::string_view m_Name; ///< lower_snake_case, used as a metric label.
  int m_HttpStatus = 0;
  bool m_RetryHelps = false; ///< Whether an answer carries `Retry-After`.
  std::string_view m_Text;
};

/// Looks a reason up. \returns the entry of the catalogue; never fails.
const RefusalInfo &refusalInfo(Refusal Reason);

/// Number of reasons in the catalogue, and the one at \p Index below it.
std::size_t refusalCount();
const RefusalInfo &refusalAt(std::size_t Index);

/// A failure, with the step that failed and the peer it failed against.
struct Error {
  std::string m_Step; ///< For example `ledger.begin`.
  std::string m_Peer; ///< Node, target, file or address; empty if none.
  std::string m_Message;

  bool operator==(const Error &) const = default;
};

/// `step (peer): message`, for logs and answers.
std::string describe(const Error &Failure);

/// A value or the error that stands in its place.
template <typename T> using Result = std::variant<T, Error>;

/// Result of a function that yields nothing.
using Status = Result<std::monostate>;

template <typename T> [[nodiscard]] bool failed(const Result<T> &Value) {
  return std::holds_alternative<Error>(Value);
}
/// \pre !failed(Value)
template <typename T> [[nodiscard]] T &valueOf(Result<T> &Value) {
  return std::get<T>(Value);
}
template <typename T> [[nodiscard]] const T &valueOf(const Result<T> &Value) {
  return std::get<T>(Value);
}
/// \pre failed(Value)
template <typename T> [[nodiscard]] const Error &errorOf(const Result<T> &V) {
  return std::get<Error>(V);
}

/// Source of randomness for the deciding libraries; always seeded by whoever
/// owns it, so that a run can be repeated.
using Random = std::mt19937_64;

/// Seeds a generator from the operating system, for use in daemons.
Random randomFromSystem();

/// 64-bit hash (XXH3) for placement and sharding; not for secrets.
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed = 0);

/// BLAKE2b of \p Bytes in lower-case hexadecimal (64 digits): digests of
/// bodies, plans and bearer keys.
std::string digestHex(std::string_view Bytes);

/// A fresh random identity of 32 hexadecimal digits.
std::string randomIdentity();

/// `UpperCamelCase` to `lower_snake_case`, for names in metrics and logs.
std::string snakeCase(std::string_view Identifier);

/// Reports a broken invariant of deciding code and ends the process with
/// `abort`. Active in release builds.
[[noreturn]] void invariantBroken(std::string_view Condition,
                                  std::string_view File, int Line);

/// Stops the process when \p Condition does not hold, in every build type.
#define WASABIVALE_INVARIANT(Condition)                                        \
  ((Condition)                                                                 \
       ? static_cast<void>(0)                                                  \
       : ::wasabivale::invariantBroken(#Condition, __FILE__, __LINE__))

} // namespace wasabivale

template <typename Tag> struct std::hash<wasabivale::Id<Tag>> {
  std::size_t operator()(const wasabivale::Id<Tag> &Value) const noexcept {
    return std::hash<std::string>{}(Value.m_Value);
  }
};

#endif // WASABIVALE_BASE_BASE_H
