/// \file
/// KV memory of an engine: reservations and the prefix cache.

#ifndef WASABIVALE_ENGINEMODEL_MEMORY_H
#define WASABIVALE_ENGINEMODEL_MEMORY_H

#include "enginemodel/enginemodel.h"

namespace wasabivale::enginemodel {

/// Blocks that a run needs in all.
std::uint64_t blocksNeeded(const Run &What);

/// Reserves the memory of a run, using cached blocks and evicting unused ones.
/// \returns false, with nothing changed, if it does not fit now.
bool reserve(Engine &At, ActiveRun &For);

/// Makes the blocks of a prefilled prompt reusable by others.
void publish(Engine &At, ActiveRun &Of);

/// Gives the memory of an admitted run back; its cached blocks stay until they
/// are evicted.
void release(Engine &At, const ActiveRun &Of);

/// Removes every unused block.
void clearCache(Engine &At);

std::uint64_t freeBlocks(const Engine &At);

} // namespace wasabivale::enginemodel

#endif // WASABIVALE_ENGINEMODEL_MEMORY_H
