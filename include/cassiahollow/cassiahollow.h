#pragma once

/// The umbrella header of the coordination library: decisions without I/O and without a clock of their own.
/// See docs/design.md for the modules.

#include "cassiahollow/connection/ConnectionPool.h"
#include "cassiahollow/connection/EndpointProtocol.h"
#include "cassiahollow/process/Directory.h"
#include "cassiahollow/process/HolderMap.h"
#include "cassiahollow/process/Mailbox.h"
#include "cassiahollow/process/Membership.h"
#include "cassiahollow/process/Metrics.h"
#include "cassiahollow/process/PeerMessage.h"
#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"
#include "cassiahollow/request/AdmissionQueue.h"
#include "cassiahollow/request/Forward.h"
#include "cassiahollow/request/ReadRouting.h"
#include "cassiahollow/request/RetryBudget.h"
#include "cassiahollow/request/SessionToken.h"
#include "cassiahollow/request/WriteAttempt.h"
#include "cassiahollow/version/GroupTerm.h"
