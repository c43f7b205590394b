/** Parameters of a completion request, independent of the format of its body. */
export interface CompletionParams {
  readonly model: string;
  readonly stream: boolean;
  /** Whether a streamed response ends with a chunk that reports the token usage. */
  readonly includeUsage: boolean;
  /** Undefined if the caller set no limit. */
  readonly maxOutputTokens: number | undefined;
  /** Length of the prompt, estimated unless the prompt consists of token ids. */
  readonly promptTokens: number;
  /** Texts of the prompt in order, with role markers for chats; input of the prefix digests. */
  readonly promptParts: readonly string[];
}

/** API format of a completion request and its response. */
export type CompletionFormat = 'chat' | 'text';
