package capacity

// Sizes of the target. Those marked assumed are not stated by the users.
const (
	endpoints       = 16_000.0
	services        = 440.0
	dataCentres     = 20.0
	regions         = 6.0
	callsPerSecond  = 2_700_000.0
	changesPerDay   = 62_000.0
	replacedPerDay  = 1_100.0
	failedPerDay    = 69.0
	rack            = 40.0
	secondsPerDay   = 86_400.0
	meanDepth       = 3.0      // assumed: calls of one outside request
	organisations   = 2_000.0  // assumed
	keys            = 20_000.0 // assumed
	activePerDaemon = 50.0     // assumed: organisations that one daemon serves at a time
	servicesCalled  = 6.0      // assumed: services that one daemon calls
	claimedPart     = 0.001    // assumed: outside requests that carry an idempotency key
	linesPerCall    = 3.0      // decisions logged for one call: choice, gate, end
)

// Derived sizes.
const (
	perDataCentre  = endpoints / dataCentres
	callsPerDaemon = callsPerSecond / endpoints
	outside        = callsPerSecond / meanDepth
	changeRate     = changesPerDay / secondsPerDay
	claimRate      = outside * claimedPart
	perService     = 36 // endpoints of a service, rounded
)

// Budgets.
const (
	budgetCore   = 0.011    // of a core, for control
	budgetMemory = 64 << 20 // bytes
	budgetSent   = 2_000.0  // bytes a second
	budgetWrites = 300.0    // writes a second of the store, of several hundred
	budgetReads  = 2_000.0  // reads a second of the store
	budgetForce  = 12.0     // seconds until a change is in force everywhere
	budgetAdded  = 1.8      // ms added to a call for 99 in 100
)
