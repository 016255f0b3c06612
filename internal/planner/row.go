package planner

const (
	day = 86_400 // seconds
	mib = 1 << 20
	// core is one processor, in ms per second, or one second in ms.
	core = 1000
)

// Roles.
const (
	entryRole   = "entry instance"
	holderRole  = "zone holder"
	controlRole = "control member"
)

// row is one load of one role.
type row struct {
	role, name, unit, part, formula string
	slopes                          []string
	load                            func(p *Planner) float64
	limit                           func(p *Planner) float64
}

func (p *Planner) zoneInstances() float64 { return p.sizes.Daemons / p.sizes.Zones }
func (p *Planner) zoneTargets() float64   { return p.sizes.Targets / p.sizes.Zones }
func (p *Planner) zoneRequests() float64  { return p.sizes.Requests / p.sizes.Zones }
func (p *Planner) changeRate() float64    { return p.sizes.Changes / day }

func coreLimit(p *Planner) float64   { return p.sizes.Core }
func memoryLimit(p *Planner) float64 { return p.sizes.Memory / mib }
func bytesLimit(p *Planner) float64  { return p.sizes.Bytes }
func wholeCore(*Planner) float64     { return core }
func machine(*Planner) float64       { return 32 * 1024 }

// rows lists the loads. The order is that of the page.
var rows = append(append(entryRows, holderRows...), controlRows...)

var entryRows = []row{
	{entryRole, "watch stream, targets of its zone", "B/s", "publisher, subscriber", "targets per zone × watch-target", []string{"watch-target"},
		func(p *Planner) float64 { return p.zoneTargets() * p.values["watch-target"] }, bytesLimit},
	{entryRole, "watch stream, targets of all zones (today)", "B/s", "neighbor, publisher, subscriber", "targets × watch-target", []string{"watch-target"},
		func(p *Planner) float64 { return p.sizes.Targets * p.values["watch-target"] }, bytesLimit},
	{entryRole, "the same with 20 cache events per announcement", "B/s", "neighbor, publisher, subscriber", "targets × watch-target-events", []string{"watch-target-events"},
		func(p *Planner) float64 { return p.sizes.Targets * p.values["watch-target-events"] }, bytesLimit},
	{entryRole, "heartbeats and empty updates", "B/s", "member, publisher", "control-idle", []string{"control-idle"},
		func(p *Planner) float64 { return p.values["control-idle"] }, bytesLimit},
	{entryRole, "processor for announcements and updates of all zones", "ms/s", "subscriber, registry", "targets × entry-target-time", []string{"entry-target-time"},
		func(p *Planner) float64 { return p.sizes.Targets * p.values["entry-target-time"] }, coreLimit},
	{entryRole, "processor for changes of the configuration", "ms/s", "configuration, subscriber", "changes per second × change-install per budget × budgets", []string{"change-install"},
		func(p *Planner) float64 { return p.changeRate() * p.sizes.Budgets * p.values["change-install"] }, coreLimit},
	{entryRole, "memory of the configuration", "MiB", "configuration", "budgets × entry-account", []string{"entry-account"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["entry-account"] / mib }, memoryLimit},
	{entryRole, "memory of the targets of all zones", "MiB", "registry", "targets × entry-target", []string{"entry-target"},
		func(p *Planner) float64 { return p.sizes.Targets * p.values["entry-target"] / mib }, memoryLimit},
	{entryRole, "memory of allowances, accounts in steady use", "MiB", "reserver", "accounts × reserver-account", []string{"reserver-account"},
		func(p *Planner) float64 { return p.sizes.Accounts * p.values["reserver-account"] / mib }, memoryLimit},
	{entryRole, "processor for reservations", "ms/s", "reserver", "requests per daemon × reserve-time", []string{"reserve-time"},
		func(p *Planner) float64 { return p.sizes.Requests / p.sizes.Daemons * p.values["reserve-time"] }, coreLimit},
	{entryRole, "processor for the choice of targets", "ms/s", "router, registry", "requests per daemon × (targets × ready-time + targets per zone × pick-time)", []string{"ready-time", "pick-time"},
		func(p *Planner) float64 {
			return p.sizes.Requests / p.sizes.Daemons * p.sizes.Targets * (p.values["ready-time"] + p.values["pick-time"]/p.sizes.Zones)
		}, coreLimit},
	{entryRole, "first update, the whole configuration", "MiB", "publisher, subscriber", "budgets × document-account", []string{"document-account"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["document-account"] / mib }, nil},
	{entryRole, "time to print and assemble it", "ms", "configuration", "budgets × assemble-time", []string{"assemble-time"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["assemble-time"] }, nil},
	{entryRole, "resident memory while it is received", "MiB", "configuration, subscriber", "budgets × assemble-memory", []string{"assemble-memory"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["assemble-memory"] / mib }, memoryLimit},
	{entryRole, "processor for requests and streams (no control)", "ms/s", "gateway, dispatcher", "(requests × request-time + tokens × token-time) per daemon", []string{"request-time", "token-time"},
		func(p *Planner) float64 {
			return (p.sizes.Requests*p.values["request-time"] + p.sizes.Tokens*p.values["token-time"]) / p.sizes.Daemons
		}, nil},
}

var holderRows = []row{
	{holderRole, "announcements of its zone", "messages/s", "publisher", "targets per zone, one each second", nil,
		func(p *Planner) float64 { return p.zoneTargets() }, nil},
	{holderRole, "whole configurations sent to replaced instances", "B/s", "publisher", "replaced per day per zone × budgets × document-account", []string{"document-account"},
		func(p *Planner) float64 {
			return p.sizes.Replaced / p.sizes.Zones / day * p.sizes.Budgets * p.values["document-account"]
		}, nil},
	{holderRole, "updates sent, targets of all zones (today)", "B/s", "publisher", "instances per zone × targets × watch-target", []string{"watch-target"},
		func(p *Planner) float64 { return p.zoneInstances() * p.sizes.Targets * p.values["watch-target"] }, nil},
	{holderRole, "processor for announcements and updates", "ms/s", "publisher, registry", "targets × holder-target-time (38 instances)", []string{"holder-target-time"},
		func(p *Planner) float64 { return p.sizes.Targets * p.values["holder-target-time"] }, wholeCore},
	{holderRole, "processor for settles", "ms/s", "ledger", "requests per zone × settle-time", []string{"settle-time"},
		func(p *Planner) float64 { return p.zoneRequests() * p.values["settle-time"] }, wholeCore},
	{holderRole, "memory of the budgets", "MiB", "ledger", "budgets × ledger-budget", []string{"ledger-budget"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["ledger-budget"] / mib }, machine},
	{holderRole, "memory of identities of 24 h at the peak rate", "MiB", "ledger", "requests per zone × 86,400 × identity", []string{"identity"},
		func(p *Planner) float64 { return p.zoneRequests() * day * p.values["identity"] / mib }, machine},
	{holderRole, "pause while a snapshot is encoded", "ms", "ledger, journal", "budgets × ledger-snapshot-time", []string{"ledger-snapshot-time"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["ledger-snapshot-time"] }, func(*Planner) float64 { return core }},
}

var controlRows = []row{
	{controlRole, "memory of pools, 9 zones", "MiB", "controller", "budgets × controller-budget", []string{"controller-budget"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["controller-budget"] / mib }, machine},
	{controlRole, "snapshot", "MiB", "controller, replicator", "budgets × snapshot-budget", []string{"snapshot-budget"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["snapshot-budget"] / mib }, nil},
	{controlRole, "time to encode a snapshot", "ms", "controller", "budgets × snapshot-time", []string{"snapshot-time"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["snapshot-time"] }, func(*Planner) float64 { return core / 2 }},
	{controlRole, "time to restore a snapshot", "ms", "controller", "budgets × restore-time", []string{"restore-time"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["restore-time"] }, nil},
	{controlRole, "time of one change of the configuration", "ms", "controller, configuration", "budgets × configure-time", []string{"configure-time"},
		func(p *Planner) float64 { return p.sizes.Budgets * p.values["configure-time"] }, func(*Planner) float64 { return 10 * core }},
	{controlRole, "processor for changes", "ms/s", "controller, configuration", "changes per second × budgets × (configure-time + print-time)", []string{"configure-time", "print-time"},
		func(p *Planner) float64 {
			return p.changeRate() * p.sizes.Budgets * (p.values["configure-time"] + p.values["print-time"])
		}, wholeCore},
	{controlRole, "grants, upper bound", "commands/s", "holder, controller, replicator", "accounts × zones, one each 10 s", []string{"proposals"},
		func(p *Planner) float64 { return p.sizes.Accounts * p.sizes.Zones / 10 }, func(p *Planner) float64 { return p.values["proposals"] }},
	{controlRole, "claims if each request were non-idempotent", "commands/s", "gateway, controller, replicator", "requests, two commands each", []string{"proposals"},
		func(p *Planner) float64 { return 2 * p.sizes.Requests }, func(p *Planner) float64 { return p.values["proposals"] }},
}
