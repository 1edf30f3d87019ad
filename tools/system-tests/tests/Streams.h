/// \file
/// Callers' streams and how they are judged.

#ifndef WASABIVALE_SYSTEMTESTS_STREAMS_H
#define WASABIVALE_SYSTEMTESTS_STREAMS_H

#include "Harness.h"

namespace wasabivale::systemtests {

/// Streams by number, each with its own prompt, dealt over two entries.
struct Streams {
  std::vector<std::shared_ptr<Answer>> m_Answers;
  std::uint64_t m_Tokens = 0;
};

std::string promptOf(std::size_t Number);

/// Starts streams and waits until the first text of each has come.
Streams startStreams(const System &Running, std::size_t Count,
                     std::uint64_t Tokens);

/// Starts one more stream at an entry.
void addStream(Streams &To, const System &Running, int Entry);

void waitForEnd(const System &Running, const Streams &Of);

/// Checks that the stream of a number is whole, in order and its own.
void checkWhole(const Streams &Of, std::size_t Number);
void checkAllWhole(const Streams &Of);

/// Checks that a stream is whole, or that its caller can see that it is not.
void checkWholeOrKnown(const Streams &Of, std::size_t Number);

} // namespace wasabivale::systemtests

#endif // WASABIVALE_SYSTEMTESTS_STREAMS_H
