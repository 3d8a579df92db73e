/** Name of a service, as in its file. */
export type ServiceName = string;

/** Name of an availability zone. */
export type ZoneName = string;

/** Identity of one run of an entry process: VM name and boot nonce. A restart is a new member. */
export type EntryVmId = string;

/** Identity of a target: `SERVICE/VM`. */
export type TargetId = string;

/** Identity of a group of targets of one zone that one entry VM drives: `ZONE/NUMBER`. */
export type PartitionId = string;

/** Number of a request, unique within a process. */
export type RequestId = number;

/** Number of an attempt to send a request to a target or peer, unique within a process. */
export type AttemptId = number;

/** Number of a call to the platform's store, unique within a process. */
export type CallId = number;
