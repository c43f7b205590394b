/** What a model request asks for, whatever the format of its body. */
export interface ModelAsk {
  readonly model: string;
  readonly stream: boolean;
  /** Whether a streamed answer ends with a chunk that carries the usage. */
  readonly includeUsage: boolean;
  readonly maxOutputTokens: number | undefined;
  readonly promptTokens: number;
  /** Texts of the prompt in order, with roles; input of the prefix digests. */
  readonly promptParts: readonly string[];
}

/** Shape of the answers to one kind of model request. */
export type ModelFormat = 'chat' | 'text';
