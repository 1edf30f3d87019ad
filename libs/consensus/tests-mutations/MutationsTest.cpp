#include "consensus_model/consensus_model.h"

#include <catch2/catch.hpp>

using namespace wasabivale::consensus;

TEST_CASE("x") {}
