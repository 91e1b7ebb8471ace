add_library(cornelrelay_options INTERFACE)
target_compile_options(cornelrelay_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
# g++ 12 reports uninitialized reads inside std::variant and std::optional that cannot happen, and
# mismatched allocation functions for the frames of Boost.Asio coroutines.
target_compile_options(cornelrelay_options INTERFACE -Wno-maybe-uninitialized -Wno-mismatched-new-delete)
# Boost.MSM tables over 20 rows need larger MPL limits, and these need the preprocessed headers switched off.
target_compile_definitions(
  cornelrelay_options INTERFACE BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS BOOST_MPL_LIMIT_VECTOR_SIZE=50
                                BOOST_MPL_LIMIT_LIST_SIZE=50 BOOST_ASIO_NO_DEPRECATED)
if(CORNELRELAY_SANITIZE)
  target_compile_options(cornelrelay_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all
                                                       -fno-omit-frame-pointer -O1 -g1)
  target_link_options(cornelrelay_options INTERFACE -fsanitize=address,undefined)
endif()
