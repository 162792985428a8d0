package qlcode

import "net/http"

// The result codes. 1xx: the request was executed. 2xx: it was not executed.
// 3xx: it was sent, and whether it was executed is unknown.
const (
	Answered          Code = 100
	BadRequest        Code = 200
	UnknownKey        Code = 201
	UnknownPool       Code = 202
	NotPermitted      Code = 203
	BodyTooLarge      Code = 204
	NoUpstream        Code = 205
	QueueFull         Code = 206
	WaitTimeout       Code = 207
	Stopping          Code = 208
	NotReady          Code = 209
	ClaimUnavailable  Code = 210
	DuplicateKey      Code = 211
	KeyBodyMismatch   Code = 212
	CallerLeft        Code = 213
	UpstreamUnreached Code = 214
	RouterFault       Code = 215
	RouterOverloaded  Code = 216
	PromptQuarantined Code = 217
	OverShare         Code = 218
	UpstreamCut       Code = 300
	UpstreamTimeout   Code = 301
	AnswerCrossed     Code = 302
	AnswerUnverified  Code = 303
	StopCut           Code = 304
	RouterFaultSent   Code = 305
)

type entry struct {
	code    Code
	name    string
	title   string
	text    string
	example string
	remedy  string
	status  int
	run     Run
}

var _table = []entry{
	{
		code:    Answered,
		name:    "answered",
		title:   "The upstream answered in full",
		text:    "The body is the whole answer to this request; its status is the upstream's own.",
		example: "a completion that ended with its end event",
		remedy:  "none needed",
		status:  http.StatusOK,
		run:     RunYes,
	},
	{
		code:    BadRequest,
		name:    "bad-request",
		title:   "The request cannot be read",
		text:    "A header, path or body is malformed, so nothing was sent.",
		example: "a completion whose body is not JSON",
		remedy:  "correct the request as the message says",
		status:  http.StatusBadRequest,
		run:     RunNo,
	},
	{
		code:    UnknownKey,
		name:    "unknown-key",
		title:   "The bearer key belongs to no customer",
		text:    "The key is missing, or its hash is in no customer's parameters of the revision in force.",
		example: "Authorization: Bearer with a mistyped key",
		remedy:  "check the key; operators: `quetzallane render`",
		status:  http.StatusUnauthorized,
		run:     RunNo,
	},
	{
		code:    UnknownPool,
		name:    "unknown-pool",
		title:   "No such model or service",
		text:    "The configuration in force has no pool of that name.",
		example: "a completion for a model that is not configured",
		remedy:  "check the name of the model or service",
		status:  http.StatusNotFound,
		run:     RunNo,
	},
	{
		code:    NotPermitted,
		name:    "not-permitted",
		title:   "The customer is not served by this pool",
		text:    "The customer's template and parameters do not name the pool.",
		example: "a customer of stock lookups that calls a model",
		remedy:  "operators: add the pool to the customer's parameters",
		status:  http.StatusForbidden,
		run:     RunNo,
	},
	{
		code:    BodyTooLarge,
		name:    "body-too-large",
		title:   "The body exceeds the router's limit",
		text:    "Bodies are bounded by the setting max-body.",
		example: "a prompt of 20 MB with max-body 1 MB",
		remedy:  "send less; operators: raise max-body",
		status:  http.StatusRequestEntityTooLarge,
		run:     RunNo,
	},
	{
		code:    NoUpstream,
		name:    "no-upstream",
		title:   "The pool has no upstream in service",
		text:    "Every upstream of the pool is leaving, ejected or unlisted.",
		example: "a service whose only replica is leaving",
		remedy:  "retry after Retry-After; operators: look at /debug/state",
		status:  http.StatusServiceUnavailable,
		run:     RunNo,
	},
	{
		code:    QueueFull,
		name:    "queue-full",
		title:   "The customer's own queue is full",
		text:    "The customer has as many requests waiting at this router as its queue-length allows. Other customers are not affected.",
		example: "a flood of completions by one customer",
		remedy:  "retry after Retry-After",
		status:  http.StatusTooManyRequests,
		run:     RunNo,
	},
	{
		code:    WaitTimeout,
		name:    "wait-timeout",
		title:   "No slot came free in time",
		text:    "The request waited for the customer's max-wait and was not sent.",
		example: "a backlogged customer at its share",
		remedy:  "retry after Retry-After; operators: raise the share, or max-wait",
		status:  http.StatusServiceUnavailable,
		run:     RunNo,
	},
	{
		code:    Stopping,
		name:    "stopping",
		title:   "The router is stopping",
		text:    "A router in a planned stop takes no new request.",
		example: "a call on a connection kept open past the balancer's notice",
		remedy:  "send it again; another router takes it",
		status:  http.StatusServiceUnavailable,
		run:     RunNo,
	},
	{
		code:    NotReady,
		name:    "not-ready",
		title:   "The router has no confirmed configuration yet",
		text:    "A router that started empty takes no request before a majority of the listed routers has told it their revision.",
		example: "a router just started behind a stale configuration service",
		remedy:  "send it again; another router takes it",
		status:  http.StatusServiceUnavailable,
		run:     RunNo,
	},
	{
		code:    ClaimUnavailable,
		name:    "claim-unavailable",
		title:   "The idempotency key cannot be vouched for now",
		text:    "Fewer than two of the three routers that remember this key could grant it, so running it might run it twice.",
		example: "a booking just after two routers restarted",
		remedy:  "retry after Retry-After with the same key",
		status:  http.StatusServiceUnavailable,
		run:     RunNo,
	},
	{
		code:    DuplicateKey,
		name:    "duplicate-key",
		title:   "The idempotency key is already in use",
		text:    "An earlier request of this customer holds the key inside its window; this one was not run. The header Quetzallane-Original-Request names the earlier one.",
		example: "the same booking sent again after a time-out",
		remedy:  "look up the outcome of the earlier request",
		status:  http.StatusConflict,
		run:     RunNo,
	},
	{
		code:    KeyBodyMismatch,
		name:    "key-body-mismatch",
		title:   "The idempotency key was used with another request",
		text:    "Method, path or body differ from the request that holds the key.",
		example: "one key for two different bookings",
		remedy:  "use a new key for each booking",
		status:  http.StatusUnprocessableEntity,
		run:     RunNo,
	},
	{
		code:    CallerLeft,
		name:    "caller-left",
		title:   "The caller left while the request waited",
		text:    "Seen in logs, and by a caller that has ended only its side of the connection: the request was taken out of the queue and never sent.",
		example: "a browser tab closed",
		remedy:  "none needed",
		status:  499,
		run:     RunNo,
	},
	{
		code:    RouterOverloaded,
		name:    "router-overloaded",
		title:   "This router is overloaded",
		text:    "The router's processor cannot keep up with the callers that the balancer sends it. Customers that send most are refused first.",
		example: "many callers of one customer at one small VM",
		remedy:  "send it again after Retry-After; another router takes it",
		status:  http.StatusServiceUnavailable,
		run:     RunNo,
	},
	{
		code:    PromptQuarantined,
		name:    "prompt-quarantined",
		title:   "The prompt holds segments that crash engines",
		text:    "Engines crashed one after the other when they began an answer to prompts with these segments. Until the quarantine ends, prompts that hold them are not sent. Other prompts of the customer are not affected.",
		example: "a document that crashes each engine that reads it",
		remedy:  "send the prompt without the segment, or after Retry-After; operators: quarantines in /debug/state",
		status:  http.StatusServiceUnavailable,
		run:     RunNo,
	},
	{
		code:    UpstreamUnreached,
		name:    "upstream-unreached",
		title:   "No connection to an upstream could be made",
		text:    "Every try within the retry budget failed before a byte was sent.",
		example: "a replica that refuses connections",
		remedy:  "retry after Retry-After",
		status:  http.StatusBadGateway,
		run:     RunNo,
	},
	{
		code:    RouterFault,
		name:    "router-fault",
		title:   "The router failed before it sent the request",
		text:    "A defect of the router ended this request only.",
		example: "a panic while the request was read",
		remedy:  "send it again; report the log line",
		status:  http.StatusInternalServerError,
		run:     RunNo,
	},
	{
		code:    OverShare,
		name:    "over-share",
		title:   "The customer is above its fair share",
		text:    "The customer has more than its fair share of the engines, and they have no room beyond it. The owner of the engines has said so, for this request or for others of the customer in the last two seconds.",
		example: "a customer sends six times its usual requests while others wait",
		remedy:  "retry after Retry-After; operators: see `share-state`",
		status:  http.StatusTooManyRequests,
		run:     RunNo,
	},
	{
		code:    UpstreamCut,
		name:    "upstream-cut",
		title:   "The upstream's answer ended early",
		text:    "The request was sent; the answer was cut before its end. Nothing cut is passed on as whole.",
		example: "an upstream VM that died while it answered",
		remedy:  "look up the outcome before sending an unrepeatable call again",
		status:  http.StatusBadGateway,
		run:     RunUnknown,
	},
	{
		code:    UpstreamTimeout,
		name:    "upstream-timeout",
		title:   "The upstream did not answer in time",
		text:    "The request was sent and the pool's timeout passed.",
		example: "a booking service that hangs",
		remedy:  "look up the outcome before sending an unrepeatable call again",
		status:  http.StatusGatewayTimeout,
		run:     RunUnknown,
	},
	{
		code:    AnswerCrossed,
		name:    "answer-crossed",
		title:   "The answer belonged to another request",
		text:    "The request id that the upstream echoed was not this request's. The answer was dropped and the connection closed.",
		example: "an upstream that mixes up two answers",
		remedy:  "look up the outcome before sending an unrepeatable call again",
		status:  http.StatusBadGateway,
		run:     RunUnknown,
	},
	{
		code:    AnswerUnverified,
		name:    "answer-unverified",
		title:   "The answer could not be shown to be whole",
		text:    "It had neither a length nor chunks nor an end event, or exceeded the bound for answers.",
		example: "an answer that ends where its connection ends",
		remedy:  "operators: correct the upstream",
		status:  http.StatusBadGateway,
		run:     RunUnknown,
	},
	{
		code:    StopCut,
		name:    "stop-cut",
		title:   "The deadline of a planned stop cut the request",
		text:    "Only when stop-deadline passes, or on a second signal; the log names each.",
		example: "a stream longer than stop-deadline",
		remedy:  "operators: raise stop-deadline",
		status:  http.StatusServiceUnavailable,
		run:     RunUnknown,
	},
	{
		code:    RouterFaultSent,
		name:    "router-fault-sent",
		title:   "The router failed after it sent the request",
		text:    "A defect of the router ended this request only, after it may have reached an upstream.",
		example: "a panic while an answer was copied",
		remedy:  "look up the outcome; report the log line",
		status:  http.StatusInternalServerError,
		run:     RunUnknown,
	},
}
