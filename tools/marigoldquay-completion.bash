# Bash completion of the operators' command line: source this file or install it
# as /usr/share/bash-completion/completions/marigoldquay.

_marigoldquay() {
  local word=${COMP_WORDS[COMP_CWORD]}
  local general='--operator_address= --token= --token_file= --timeout_s= --json'
  local kinds='workspace key rate pool backend route'
  local -A fields=(
    [workspace]='--weight= --rate= --burst='
    [rate]='--rate= --burst='
    [key]='--workspace='
    [pool]='--kind= --model= --first_token_ms= --between_tokens_ms= --serve_late'
    [backend]='--pool= --role= --address= --link_bytes_per_s= --state= --checks_fencing'
    [route]='--pool= --methods= --idempotent --noidempotent --open'
    [report]='--workspace='
  )
  # Words of the command without flags; "=" and what follows it are words of their own.
  local words=() i
  for ((i = 1; i < COMP_CWORD; ++i)); do
    case ${COMP_WORDS[i]} in
      -*) ;;
      =) ((++i)) ;;
      *) words+=("${COMP_WORDS[i]}") ;;
    esac
  done

  COMPREPLY=()
  local previous=${COMP_WORDS[COMP_CWORD - 1]} flag
  if [[ $word == '=' || $previous == '=' ]]; then
    if [[ $word == '=' ]]; then
      flag=$previous word=''
    else
      flag=${COMP_WORDS[COMP_CWORD - 2]}
    fi
    case $flag in
      --kind) mapfile -t COMPREPLY < <(compgen -W 'model plain' -- "$word") ;;
      --role) mapfile -t COMPREPLY < <(compgen -W 'prefill decode both plain' -- "$word") ;;
      --state) mapfile -t COMPREPLY < <(compgen -W 'active leaving' -- "$word") ;;
      --token_file) mapfile -t COMPREPLY < <(compgen -f -- "$word") ;;
    esac
    return
  fi
  if [[ $word == -* ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$general ${fields[${words[0]:-none}]:-}" -- "$word")
    [[ ${#COMPREPLY[@]} -eq 1 && ${COMPREPLY[0]} == *= ]] && compopt -o nospace
    return
  fi
  case ${#words[@]}:${words[0]:-} in
    0:) mapfile -t COMPREPLY < <(compgen -W "$kinds plan confirm status report help" -- "$word") ;;
    1:workspace | 1:key | 1:pool | 1:backend | 1:route)
      mapfile -t COMPREPLY < <(compgen -W 'create change withdraw list' -- "$word") ;;
    1:rate) mapfile -t COMPREPLY < <(compgen -W 'create change list' -- "$word") ;;
    1:plan) mapfile -t COMPREPLY < <(compgen -W 'list show' -f -- "$word") ;;
    1:report) mapfile -t COMPREPLY < <(compgen -W 'burn' -- "$word") ;;
  esac
}

complete -F _marigoldquay marigoldquay
