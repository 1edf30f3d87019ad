/// \file
/// Seeded malformed requests.

#ifndef WASABIVALE_MALFORMED_REQUESTS_H
#define WASABIVALE_MALFORMED_REQUESTS_H

#include "base/base.h"

#include <string>

namespace wasabivale::malformed {

/// What a valid request to the entry under test looks like.
struct Valid {
  std::string m_Model;
  std::string m_Key; ///< Bearer key; empty for none.
};

/// Bytes of a valid request that is answered by a whole answer.
std::string goodRequest(const Valid &From);

/// Bytes of a request that is broken in one way or several. Equal seeds give
/// equal requests.
std::string badRequest(const Valid &From, Random &Rng);

} // namespace wasabivale::malformed

#endif // WASABIVALE_MALFORMED_REQUESTS_H
