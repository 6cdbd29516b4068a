package decide

import (
	"log/slog"
	"time"

	"starlingwinch/internal/retry"
)

func (r *Router) log(level slog.Level, message string, attrs ...slog.Attr) {
	r.emit(Log{Level: level, Message: message, Attrs: attrs})
}

func (r *Router) logCacheHealthy(c *cache) {
	r.log(slog.LevelInfo, "cache healthy", slog.String("cache", c.ID))
}

func (r *Router) logCacheUnhealthy(c *cache) {
	r.log(slog.LevelWarn, "cache unhealthy",
		slog.String("cache", c.ID), slog.Int("failed_health_checks", c.health.failures))
}

func (r *Router) logZoneUnreachable(zone string) {
	r.log(slog.LevelWarn, "zone unreachable", slog.String("zone", zone))
}

func (r *Router) logListLost() {
	r.log(slog.LevelWarn, "endpoint list lost", slog.String("action", "calling again"))
}

// logListUnavailable logs that discovery is down, or cannot serve the calls of all routers.
func (r *Router) logListUnavailable(failure retry.Failure) {
	r.log(slog.LevelWarn, "endpoint list unavailable",
		slog.Int("attempts", failure.FailedCalls),
		slog.Duration("unavailable_for", time.Duration(failure.FailingFor)*time.Microsecond))
}

func (r *Router) logShedding() {
	level := slog.LevelInfo
	if r.shedding.active {
		level = slog.LevelWarn
	}
	r.log(level, "load shedding",
		slog.Bool("active", r.shedding.active),
		slog.Int("rejected_for_capacity", r.shedding.forCapacity),
		slog.Int("rejected_for_origin", r.shedding.forOrigin))
}
