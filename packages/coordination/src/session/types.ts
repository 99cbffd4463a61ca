import type { AgentFrame, EntryFrame, Hello } from '@hazellift/protocol'

/** Changes the next frame that an agent sends to one entry. */
export type AddToFrame = (change: (frame: AgentFrame) => void) => void

/** An agent's side of its sessions; the transport calls it. */
export interface SessionHost {
  /** A session with an incarnation of an entry was opened; an earlier one with the same incarnation counts as closed. */
  openSession: (incarnation: string, add: AddToFrame) => void
  /** The session that was opened with this `add` has ended. */
  closeSession: (incarnation: string, add: AddToFrame) => void
  /** Handles a frame that an entry sent on an open session. */
  onFrame: (incarnation: string, add: AddToFrame, frame: EntryFrame) => void
  /**
   * Adds the present values that every frame carries, just before it is sent on the
   * session that was opened with this `add`. The frame of a session that is not open,
   * or not any more, may be lost: what is sent only once must not leave with it.
   */
  fillFrame: (incarnation: string, add: AddToFrame, frame: AgentFrame) => void
  /** True while the agent has tasks of the entry; unset where every session counts as busy. */
  isBusyWith?: (incarnation: string) => boolean
  /** True if the entry said in its last frame that tasks wait there; unset where entries do not say. */
  isLoaded?: (incarnation: string) => boolean
  /** Asks the entry to send no more starts on the session, which will be ended. */
  retireSession?: (incarnation: string, add: AddToFrame) => void
}

/** An open session with an agent, as an entry uses it. */
export interface AgentLink {
  /** Changes the next frame to the agent, and has it sent. */
  add: (change: (frame: EntryFrame) => void) => void
  /** Acknowledges results up to this number with the next frame; causes no frame by itself. */
  acknowledge: (seq: bigint) => void
  /** Ends the session. */
  close: () => void
}

/** An entry's side of its sessions; the transport calls it. */
export interface SessionDispatcher<Agent> {
  /**
   * True if the agent may have sent this hello before frames that have arrived on
   * another session, that is if its session has been replaced already, or its process.
   *
   * @param stampMs - timestamp of the frame, on the agent's clock
   * @param welcomedAt - when the session began, before its welcome was sent, in ms on the entry's steady clock
   */
  isOutdated: (hello: Hello, stampMs: number, welcomedAt: number) => boolean
  /** An agent opened a session; an earlier one with the same agent counts as ended. */
  open: (hello: Hello, link: AgentLink) => Agent
  /** Handles a frame that an agent sent. */
  onFrame: (agent: Agent, link: AgentLink, frame: AgentFrame) => void
  /** The session of this link has ended. */
  closed: (agent: Agent, link: AgentLink) => void
  /** Adds the present values that every frame carries, just before it is sent. */
  fillFrame?: (agent: Agent, frame: EntryFrame) => void
  /** True while orders to the agent are outstanding; unset where every session counts as busy. */
  isBusyWith?: (agent: Agent) => boolean
}
